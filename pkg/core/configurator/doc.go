// Package configurator brings the declared configuration into force on one VM and never lets it go back.
//
// Heads come from the store and from peers, in any order and as late as they like; only a higher revision counts.
// A gap is closed by asking after a random wait, without acknowledgements, after the randomized re-request of
// F. Jonsson, "Arm-P: Almost Reliable Multicast Protocol" (2008), section 4.1.3.
package configurator
