package inspector

import (
	"net/textproto"
	"slices"
	"strings"
)

// connectionHeaders concern one connection, or the framing of one message, so they are not forwarded. The sender sets Host.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// IsOfConnection reports whether the header concerns one connection only, or is set by the sender of each message.
func IsOfConnection(name string) bool {
	return slices.Contains(connectionHeaders, textproto.CanonicalMIMEHeaderKey(name))
}

// Forwarded returns the headers without those that concern one connection only, among them all that the Connection header names.
// The lists of values are shared with from, whose names are canonical.
func Forwarded[H ~map[string][]string](from H) H {
	h := make(H, len(from))
	for name, values := range from {
		if !IsOfConnection(name) {
			h[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return h
}
