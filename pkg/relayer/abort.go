package relayer

import "net/http"

// abort ends an answer that was begun and can't be completed so that the caller can tell it from a whole one.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Before HTTP/1.1 an answer without a length ends with its connection, so the connection must not end properly.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
