// Package detector finds out which VMs are live, by probing.
//
// It follows A. Das, I. Gupta and A. Motivala, "SWIM: Scalable weakly-consistent infection-style process group
// membership protocol" (2002): a probe a round, indirect probes, suspicion, incarnations, and news carried on the
// probes themselves. Rounds stay within a region; few of them cross the link. The probes also carry the head of the
// configuration and the names of endpoints that are leaving.
package detector
