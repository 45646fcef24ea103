package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/server"
)

const callTimeout = 30 * time.Second

// session holds the values of the global flags and calls the fleet with them.
type session struct {
	out       io.Writer
	operators string
	callers   string
	key       string
	output    string
}

func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format, args...)
}

// print writes v as JSON, or calls text if the output format is text.
func (s *session) print(v any, text func()) error {
	switch s.output {
	case "json":
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(v), "print")
	case "text":
		text()
		return nil
	default:
		return &ExitError{Code: exitUsage, Cause: errors.Errorf("--output is %q: use text or json", s.output)}
	}
}

// callAsOperator sends a request to the operators' interface and decodes the answer.
func (s *session) callAsOperator(method, path string, body, into any) error {
	return s.call(s.operators, "--operators", method, "/operators/v1"+path, body, into)
}

// callAsCaller sends a request to the callers' interface and decodes the answer.
func (s *session) callAsCaller(method, path string, body, into any) error {
	return s.call(s.callers, "--callers", method, path, body, into)
}

// call sends body as JSON to the address, which was set by the flag of that name, and decodes the answer.
func (s *session) call(address, flag, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	res, err := s.send(address, flag, method, path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return failed(errors.Wrap(err, "decode answer"))
	}
	return nil
}

// send sends one request. An address that can't be parsed, a failed exchange and a status of 400 or above return an
// ExitError; otherwise the caller closes the answer's body.
func (s *session) send(address, flag, method, path, contentType string, body io.Reader) (*http.Response, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &ExitError{Code: exitUsage, Cause: errors.Errorf("%s is %q: use an IP address and port", flag, address)}
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr.String()+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	r.Header.Set("Content-Type", contentType)
	res, err := (&http.Client{Timeout: callTimeout}).Do(r)
	if err != nil {
		return nil, failed(errors.Wrapf(err, "reach VM at %s", addr))
	}
	if res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusBadRequest {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	return nil, refusedBy(res)
}

// failed returns err with the exit code of a failure.
func failed(err error) error {
	return &ExitError{Code: exitFailed, Cause: err}
}

// refusedBy returns the error for an answer with status 400 or above. Its exit code is exitConflict if the answer names
// the current revision, because another change was applied first.
func refusedBy(res *http.Response) error {
	problem := server.OperatorProblem{}
	if err := json.NewDecoder(res.Body).Decode(&problem); err != nil {
		return failed(errors.Errorf("VM answered status %d", res.StatusCode))
	}
	code := exitRefused
	if problem.Current != nil {
		code = exitConflict
	}
	text := problem.Detail
	if problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (come back in %ds)", problem.RetryAfter)
	}
	for _, c := range problem.Changes {
		text += fmt.Sprintf("\n  differs: %s %s %s", c.Change, c.Kind, c.Name)
	}
	return &ExitError{Code: code, Cause: errors.New(text)}
}
