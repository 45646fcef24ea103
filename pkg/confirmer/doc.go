// Package confirmer finds out whether an endpoint is still the one that answered.
//
// The kernel closes the connections of a process that was killed just as a process closes one after its answer. An answer that
// has neither a length nor chunks is therefore whole only if its endpoint lives on after it. The load pattern is a rare question
// after the end of such an answer, and as many at once as an endpoint has slots when it is killed.
package confirmer
