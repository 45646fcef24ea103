// Package ratesharer holds accounts to their rates over all VMs: it carries the questions, answers and claims of
// core/ratelimiter between the VMs as datagrams. It sends nothing until a request of an account with a rate arrives.
package ratesharer
