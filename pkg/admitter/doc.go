// Package admitter admits callers' requests: it reads their keys, knows how old the VM's configuration may be, applies the
// decisions of core/authenticator and the accounts' rates, and logs and counts refusals.
package admitter
