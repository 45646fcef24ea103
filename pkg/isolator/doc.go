// Package isolator keeps requests that crash endpoints from further endpoints, on all VMs.
//
// It confirms that an endpoint has ended when a request breaks off there, and shares the strikes of the request's parts, see
// core/quarantiner, through a table of the store. Rows are only ever added for what was seen, so a write that takes effect
// late or twice does no harm; a part's rows are deleted once it is refuted or expired.
package isolator
