// Package dialer holds connections to endpoints and sends one HTTP/1.1 request at a time on each.
//
// It never sends a request twice, tells whether an endpoint may have seen one, and reuses a connection only after a whole
// answer with nothing behind it.
package dialer
