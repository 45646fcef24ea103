package dialer

import (
	"net/http"
	"slices"
)

// maxCarriedIDs is the number of requests whose ids a connection remembers. An extra answer arrives where the next one is
// expected, so older ids are not needed.
const maxCarriedIDs = 64

// carried holds the requests that a connection has carried. An endpoint may write the answer to each of them once more.
type carried struct {
	// ids holds the ids of the last requests, the oldest first.
	ids []string
	// isUsed says that there was a request, with or without an id.
	isUsed bool
}

// add records a request once its answer has begun.
func (c *carried) add(id string) {
	c.isUsed = true
	if id == "" {
		return
	}
	if len(c.ids) == maxCarriedIDs {
		c.ids = slices.Delete(c.ids, 0, 1)
	}
	c.ids = append(c.ids, id)
}

// allows reports whether the answer to a request with the id can be told from one to an earlier request on the connection.
func (c *carried) allows(id string) bool {
	return !c.isUsed || id != "" && !slices.Contains(c.ids, id)
}

// namesAnother reports whether the answer names another request than r.
func namesAnother(r Request, res *http.Response) bool {
	if r.IDHeader == "" {
		return false
	}
	id := res.Header.Get(r.IDHeader)
	return id != "" && id != r.ID
}

// namesNone reports whether the answer should name its request and doesn't.
func namesNone(r Request, res *http.Response) bool {
	return r.IDHeader != "" && res.Header.Get(r.IDHeader) == ""
}

// checkName returns an *UnnamedAnswerError if the answer names no request and may be one to an earlier request.
func (c *carried) checkName(r Request, res *http.Response) error {
	if c.isUsed && namesNone(r, res) {
		return &UnnamedAnswerError{Status: res.StatusCode}
	}
	return nil
}
