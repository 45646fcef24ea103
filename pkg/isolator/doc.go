// Package isolator keeps requests that crash endpoints from further endpoints, on all VMs.
//
// It confirms that an endpoint has ended when a request breaks off there, and shares the strikes against the request's parts and
// their refutations, see core/quarantiner, through a table of the store. A row says what one VM has seen, so rows may take effect
// late, twice and in any order.
package isolator
