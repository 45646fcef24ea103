package jobmanager

import (
	"net/http"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
)

// Item is one request of a batch job.
type Item struct {
	ID     string
	Path   string
	Header http.Header
	Body   []byte
	// Tokens is the size of the prompt plus the maximum size of the output.
	Tokens int64
}

// Result is the final state of an item and its output.
type Result struct {
	ID     string
	State  jobrecorder.ItemState
	Output []byte
	// object is the name of the object with the output, which has objectBytes bytes; empty if Output holds it.
	object      string
	objectBytes int
}

// Call is a call about a job: a ReadCall, BodyCall or EndCall.
type Call interface {
	// jobID returns the id of the call's job.
	jobID() string
}

// ReadCall reads the results of a job from position After on. If there is none yet, it waits for one, at most for Wait.
type ReadCall struct {
	Job   string
	After int
	Wait  time.Duration
}

// BodyCall reads the body of an item.
type BodyCall struct{ Job, Item string }

// EndCall ends a job: its unfinished items no longer run.
type EndCall struct{ Job string }

func (c ReadCall) jobID() string { return c.Job }
func (c BodyCall) jobID() string { return c.Job }
func (c EndCall) jobID() string  { return c.Job }

// Codec decodes submissions and calls of batch jobs and encodes results.
type Codec interface {
	// Call decodes a call about a job; false if the request is not one.
	Call(r *http.Request) (Call, bool, error)
	// JobID returns the id of the job that the request submits.
	JobID(r *http.Request) string
	// Items decodes the body of a submitted job.
	Items(body []byte) ([]Item, error)
	// WithoutCredentials removes from the items the headers that name an account or hold its key. It returns the body of the job
	// without them; if no item has one, that is body.
	WithoutCredentials(body []byte, items []Item) ([]byte, error)
	// Results encodes the answer to a ReadCall: total is the number of items, next the position after the last result.
	Results(total, next int, results []Result) ([]byte, error)
}
