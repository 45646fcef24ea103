package scout

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The first byte of a message; it differs from those of other messages between VMs.
const (
	questionType = 0x7e
	answerType   = 0x7f
)

const (
	// maxMessageBytes is the size limit of a message, so that it fits into one packet on every link.
	maxMessageBytes = 1300
	// maxNamed bounds the endpoints that a question names.
	maxNamed = 4
)

// question asks whether a VM reaches any of the endpoints.
type question struct {
	_ struct{} `cbor:",toarray"`

	VM        string
	Number    uint64
	Endpoints []string
}

// answer answers the question with the number. It says nothing unless IsKnown.
type answer struct {
	_ struct{} `cbor:",toarray"`

	Number              uint64
	IsKnown, HasReached bool
}

func encode(kind byte, m any) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err == nil && len(b) >= maxMessageBytes {
		err = errors.Errorf("message of %d bytes is too long", len(b))
	}
	return append([]byte{kind}, b...), errors.Wrap(err, "encode message about links")
}

// isOwn reports whether the payload is a message of this package.
func isOwn(payload []byte) bool {
	return len(payload) > 0 && (payload[0] == questionType || payload[0] == answerType)
}

// decode returns a question or an answer.
func decode(payload []byte) (any, error) {
	if len(payload) > maxMessageBytes {
		return nil, errors.Errorf("message of %d bytes is too long", len(payload))
	}
	if payload[0] == questionType {
		m := question{}
		err := cbor.Unmarshal(payload[1:], &m)
		if err == nil && (m.VM == "" || len(m.Endpoints) == 0 || len(m.Endpoints) > maxNamed) {
			err = errors.Errorf("question of VM %q names %d endpoints", m.VM, len(m.Endpoints))
		}
		return m, errors.Wrap(err, "decode question about links")
	}
	m := answer{}
	err := cbor.Unmarshal(payload[1:], &m)
	return m, errors.Wrap(err, "decode answer about links")
}
