// Package detector determines which VMs are live by probing them.
//
// It follows A. Das, I. Gupta and A. Motivala, "SWIM: Scalable weakly-consistent infection-style process group
// membership protocol" (2002): one probe per round, indirect probes, suspicion, incarnations, and membership updates
// piggybacked on the probes. Most rounds probe a VM of the same region; a few cross the link to another region. The
// messages also carry the head of the configuration, which endpoints are leaving, and which VMs say that they reach no
// endpoint. That flag changes with the incarnation only: an update of another VM can't set or clear it.
package detector
