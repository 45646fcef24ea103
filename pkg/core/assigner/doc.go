// Package assigner assigns the requests of all VMs to the slots of one group of endpoints.
//
// A group holds endpoints of one service in one region. One VM, the group's assigner, runs an Assigner for it: the other VMs ask
// it before they send a request, and report their own counts of requests to it alone. The counts are therefore as old as one
// message, whatever the number of VMs, and one VM exchanges messages in proportion to its own requests.
//
// Nothing of this state is stored. Each message repeats all counts of its sender, so an assigner that takes over knows the loads
// once every VM has reported, which VMs do at once when the assigner changes.
package assigner
