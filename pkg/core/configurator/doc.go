// Package configurator activates the declared configuration on one VM and never goes back to an older revision.
//
// Heads arrive from the store and from peers, in any order and with any delay; only a higher revision counts. A missing
// snapshot is requested after a random delay, without acknowledgements, following the randomized re-request of
// F. Jonsson, "Arm-P: Almost Reliable Multicast Protocol" (2008), section 4.1.3.
package configurator
