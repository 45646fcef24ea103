package claimer

// State is the state of a claim row.
type State string

// The states of a claim row.
const (
	// Running means that the attempt may be under way.
	Running State = "running"
	// Done means that the answer is stored in the row.
	Done State = "done"
	// Released means that the attempt never ran and never will, so another may be made.
	Released State = "released"
	// Lost means that nobody knows whether the attempt ran; it is never run again.
	Lost State = "unknown"
)

// Answer is a stored answer; large bodies lie in the object that Object names.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// Claim is the row of one account and idempotency key.
type Claim struct {
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	VM          string `json:"vm"`
	State       State  `json:"state"`
	Answer      Answer `json:"answer"`
}
