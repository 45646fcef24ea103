package resumer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// The first byte of a message; it differs from those of the balancer's.
const (
	begunType  = 0x75
	askType    = 0x76
	answerType = 0x77
)

const (
	// maxMessageBytes is the size limit of a message, so that it fits into one packet on every link.
	maxMessageBytes = 1300
	// maxBeginnings is the number of beginnings that fit into a message.
	maxBeginnings = 60
)

// message is a begunMessage, an askMessage or an answerMessage.
type message interface{ isMessage() }

// begunMessage says which software versions began streams.
type begunMessage struct {
	_ struct{} `cbor:",toarray"`

	Streams []beginningMessage
}

type beginningMessage struct {
	_ struct{} `cbor:",toarray"`

	Stream, Software uint64
}

// askMessage asks which software version began a stream.
type askMessage struct {
	_ struct{} `cbor:",toarray"`

	VM             string
	Number, Stream uint64
}

// answerMessage answers the askMessage with the number.
type answerMessage struct {
	_ struct{} `cbor:",toarray"`

	Number   uint64
	IsKnown  bool
	Software uint64
}

func (begunMessage) isMessage()  {}
func (askMessage) isMessage()    {}
func (answerMessage) isMessage() {}

func encodeBegun(list []continuer.Beginning) ([]byte, error) {
	m := begunMessage{}
	for _, b := range list {
		m.Streams = append(m.Streams, beginningMessage{Stream: uint64(b.Stream), Software: uint64(b.Software)})
	}
	return encode(begunType, m)
}

func (m begunMessage) beginnings() []continuer.Beginning {
	list := make([]continuer.Beginning, 0, len(m.Streams))
	for _, b := range m.Streams {
		list = append(list, continuer.Beginning{Stream: continuer.Stream(b.Stream), Software: registrar.Software(b.Software)})
	}
	return list
}

func encode(kind byte, m message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return append([]byte{kind}, b...), errors.Wrap(err, "encode message about streams")
}

// isOwn reports whether the payload is a message of a resumer.
func isOwn(payload []byte) bool {
	return len(payload) > 0 && payload[0] >= begunType && payload[0] <= answerType
}

func decode(b []byte) (message, error) {
	if len(b) == 0 || len(b) > maxMessageBytes {
		return nil, errors.Errorf("message of %d bytes; it must have 1 to %d", len(b), maxMessageBytes)
	}
	var err error
	switch b[0] {
	case begunType:
		m := begunMessage{}
		err = cbor.Unmarshal(b[1:], &m)
		return m, errors.Wrap(err, "decode beginnings of streams")
	case askType:
		m := askMessage{}
		if err = cbor.Unmarshal(b[1:], &m); err == nil && m.VM == "" {
			err = errors.New("no VM is named")
		}
		return m, errors.Wrap(err, "decode question about a stream")
	case answerType:
		m := answerMessage{}
		err = cbor.Unmarshal(b[1:], &m)
		return m, errors.Wrap(err, "decode answer about a stream")
	}
	return nil, errors.Errorf("message of unknown type %#x", b[0])
}
