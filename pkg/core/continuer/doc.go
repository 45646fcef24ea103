// Package continuer decides which software version of a service's endpoints may continue an output that has begun.
//
// What two software versions write doesn't fit together, and endpoints don't check it. The load pattern is a release: for some
// seconds to hours two versions of a service serve side by side, while streams break off and are resumed at other VMs, and batch
// items move between endpoints and VMs.
package continuer
