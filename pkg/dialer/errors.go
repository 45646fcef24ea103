package dialer

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
)

// ConnectError says that no connection was established, so the endpoint has received nothing.
type ConnectError struct {
	Address netip.AddrPort
	// After is the time since the start of the attempt.
	After time.Duration
	Cause error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s failed after %s: %v", e.Address, e.After.Round(time.Millisecond), e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ExchangeError says that a request may have been sent, at least in part, and that no usable answer was received.
type ExchangeError struct {
	Address netip.AddrPort
	// Step is the step that failed: "write request" or "read answer".
	Step string
	// After is the time since the start of the exchange.
	After time.Duration
	// IsReused says that the connection had carried an earlier request.
	IsReused bool
	Cause    error
}

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("%s at %s failed after %s (reused connection: %t): %v",
		e.Step, e.Address, e.After.Round(time.Millisecond), e.IsReused, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// StatusError says that an answer has a status that none may have.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the answer has the status %03d, which is none", e.Status)
}

// CheckStatus returns a *StatusError if the status is none that an answer may have.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &StatusError{Status: status}
	}
	return nil
}

// UploadBrokenError says that an answer that ends with its connection ended before the request was written: the connection may
// have been reset, and the answer a part.
//
// It does not wrap its cause, which may be io.EOF.
type UploadBrokenError struct {
	Cause error
}

func (e *UploadBrokenError) Error() string {
	return "the connection ended before the request was written: " + e.Cause.Error()
}

// UnnamedAnswerError says that an answer names no request, on a connection that has carried earlier ones. Whatever it states may
// be about one of them.
type UnnamedAnswerError struct {
	Status int
}

func (e *UnnamedAnswerError) Error() string {
	return "the answer with status " + strconv.Itoa(e.Status) + " names no request: connection closed"
}

// IsRejection reports whether the error of an exchange is an answer which names no request, and says that the message can't be
// read: a server that can't parse a head knows no id that it could return. The endpoint has not failed then.
func IsRejection(err error) bool {
	unnamed := (*UnnamedAnswerError)(nil)
	return errors.As(err, &unnamed) && inspector.IsRejection(unnamed.Status)
}

// maxErrorText is the number of bytes of what an endpoint sent that are put into an error.
const maxErrorText = 200

// MalformedHeadError says that what an endpoint sent is no head of an answer. Text is the beginning of what is wrong with it,
// which has Bytes bytes with the lines that it quotes.
type MalformedHeadError struct {
	Text  string
	Bytes int
}

func (e *MalformedHeadError) Error() string {
	return "no head of an answer (" + strconv.Itoa(e.Bytes) + " bytes of it follow in part): " + e.Text
}

// shorten returns the error of a head that can't be parsed without most of the lines that it quotes, which may be as long as a
// head: errors are logged and kept.
func shorten(err error) error {
	text := err.Error()
	if len(text) <= maxErrorText {
		return err
	}
	return &MalformedHeadError{Text: text[:maxErrorText], Bytes: len(text)}
}
