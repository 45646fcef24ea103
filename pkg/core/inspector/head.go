package inspector

import (
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Head is the head of a request as it is written to a connection.
type Head struct {
	Method string
	// Target is the path and query, or the whole URL.
	Target string
	Host   string
	// Header holds the values of the headers by their names.
	Header map[string][]string
	// ID identifies the request in one of the headers; empty if none does.
	ID string
}

// FieldError says that HTTP/1.1 can't carry a field of a request unchanged, so that the request can never be sent.
type FieldError struct {
	// Field names the field, and Value is the start of its value.
	Field, Value string
	// Remedy says how to correct it.
	Remedy string
}

func (e *FieldError) Error() string {
	return "request not sent: " + e.Field + " is " + strconv.Quote(e.Value) + ": " + e.Remedy
}

// maxValue is the maximum number of bytes of a value that an error holds.
const maxValue = 100

func newFieldError(field, value, remedy string) *FieldError {
	return &FieldError{Field: field, Value: value[:min(len(value), maxValue)], Remedy: remedy}
}

// Check returns nil if a server reads the written head as exactly this request, and a *FieldError otherwise.
//
// The writer adds the framing of the body and the host itself, so no header may name them.
func (h Head) Check() error {
	if !httpguts.ValidHeaderFieldName(h.Method) {
		return newFieldError("method", h.Method, "send a token")
	}
	if err := CheckTarget(h.Target); err != nil {
		return err
	}
	if !httpguts.ValidHostHeader(h.Host) {
		return newFieldError("host", h.Host, "send a host and an optional port")
	}
	if err := CheckID(h.ID); err != nil {
		return err
	}
	if err := CheckHeader(h.Header); err != nil {
		return err
	}
	for name, values := range h.Header {
		if IsOfConnection(name) {
			return newFieldError("header "+name, strings.Join(values, ", "), "leave it out: it concerns one connection only")
		}
	}
	return nil
}

// CheckTarget returns a *FieldError unless a request line can carry the target.
func CheckTarget(target string) error {
	hasBlank := strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f })
	if _, err := url.ParseRequestURI(target); err != nil || hasBlank {
		return newFieldError("path", target, "escape blanks, control characters and percent signs")
	}
	return nil
}

// CheckID returns a *FieldError unless a header can carry the id unchanged: servers remove blanks around a value.
func CheckID(id string) error {
	if !httpguts.ValidHeaderFieldValue(id) || textproto.TrimString(id) != id {
		return newFieldError("id", id, "send one without control characters and without blanks at its ends")
	}
	return nil
}

// CheckHeader returns a *FieldError unless each header is one line.
func CheckHeader(header map[string][]string) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return newFieldError("header name", name, "send a token")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return newFieldError("header "+name, v, "send a value without control characters")
			}
		}
	}
	return nil
}
