// Package dialer pools connections to endpoints and sends one HTTP/1.1 request at a time on each.
//
// It never sends a request twice. Its errors say whether the endpoint may have received the request. It reuses a connection
// only after a complete answer that no further bytes follow, and never for a request whose answer could then be mistaken for one
// to an earlier request.
package dialer
