package claimer

// State is the state of a claim row.
type State string

// The states of a claim row.
const (
	// Running means that the attempt may be in progress.
	Running State = "running"
	// Done means that the answer is stored in the row.
	Done State = "done"
	// Released means that the attempt never ran and never will, so another attempt may claim the row.
	Released State = "released"
	// Unknown means that the outcome of the attempt is unknown; the request is never run again.
	Unknown State = "unknown"
)

// Answer is a stored answer; a large body is stored in the object that Object names.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// Claim is the row for one idempotency key of one account.
type Claim struct {
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	VM          string `json:"vm"`
	State       State  `json:"state"`
	Answer      Answer `json:"answer"`
}
