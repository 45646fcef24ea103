package jobkeeper

import (
	"net/http"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
)

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header http.Header
	Body   []byte
	// Tokens are those of the prompt and the most of the output.
	Tokens int64
}

// Result is an item at its end.
type Result struct {
	ID     string
	State  jobber.State
	Output []byte
}

// Call is ReadCall, BodyCall or EndCall.
type Call interface{ isCall() }

// ReadCall asks for the results of a job from a position on, and waits for one if there is none.
type ReadCall struct {
	Job   string
	After int
	Wait  time.Duration
}

// BodyCall asks for the body of an item.
type BodyCall struct{ Job, Item string }

// EndCall ends a job.
type EndCall struct{ Job string }

func (ReadCall) isCall() {}
func (BodyCall) isCall() {}
func (EndCall) isCall()  {}

// Codec translates the calls of batch jobs.
type Codec interface {
	// Call decodes a call about a job; false says that the request is none.
	Call(r *http.Request) (Call, bool, error)
	// JobID returns the id of a submitted job.
	JobID(r *http.Request) string
	// Items decodes a submitted job.
	Items(body []byte) ([]Item, error)
	// Results encodes the answer to a ReadCall.
	Results(total, next int, results []Result) ([]byte, error)
}
