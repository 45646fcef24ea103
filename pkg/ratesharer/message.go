package ratesharer

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
)

// The first byte of a message; it differs from those of the balancer's and the resumer's. The second one is the version.
const (
	questionType = 0x78
	answerType   = 0x79
	meteringType = 0x7a
	claimType    = 0x7b
	contestType  = 0x7c
	yieldType    = 0x7d

	formatVersion = 1
	headerBytes   = 2
)

const (
	// maxMessageBytes is the size limit of a message, so that it fits into one packet on every link.
	maxMessageBytes = 1200
	// maxCount bounds the tokens, maxNumber the rates and levels, and maxDuration the durations of a message.
	maxCount    = 100_000
	maxNumber   = 1e9
	maxDuration = time.Hour
)

// message is one of the structs below.
type message interface{ isMessage() }

type questionMessage struct {
	_ struct{} `cbor:",toarray"`

	VM             string
	Incarnation    int64
	Account        string
	Rate, Burst    float64
	Number         uint64
	Wanted         int64
	Taken, Settled uint64
}

type answerMessage struct {
	_ struct{} `cbor:",toarray"`

	VM, Account          string
	Number               uint64
	Tokens               int64
	Settled              uint64
	IsMetered            bool
	RetryAfterMs, StepUs int64
}

type meteringMessage struct {
	_ struct{} `cbor:",toarray"`

	Account   string
	IsMetered bool
}

type claimMessage struct {
	_ struct{} `cbor:",toarray"`

	VM, Account string
	Number      uint64
}

type contestMessage struct {
	_ struct{} `cbor:",toarray"`

	VM, Account string
}

type yieldMessage struct {
	_ struct{} `cbor:",toarray"`

	VM, Account string
	Number      uint64
	Level       float64
}

func (questionMessage) isMessage() {}
func (answerMessage) isMessage()   {}
func (meteringMessage) isMessage() {}
func (claimMessage) isMessage()    {}
func (contestMessage) isMessage()  {}
func (yieldMessage) isMessage()    {}

func newQuestion(q ratelimiter.Question) questionMessage {
	return questionMessage{
		VM: q.VM, Incarnation: q.Incarnation, Account: q.Account.Name, Rate: q.Account.Rate, Burst: q.Account.Burst,
		Number: q.Number, Wanted: int64(q.Wanted), Taken: q.Taken, Settled: q.Settled,
	}
}

func (m questionMessage) question() ratelimiter.Question {
	return ratelimiter.Question{
		VM: m.VM, Incarnation: m.Incarnation, Number: m.Number, Wanted: int(m.Wanted), Taken: m.Taken, Settled: m.Settled,
		Account: ratelimiter.Account{Name: m.Account, Rate: m.Rate, Burst: m.Burst},
	}
}

func newAnswer(vm string, a ratelimiter.Answer) answerMessage {
	return answerMessage{
		VM: vm, Account: a.Account, Number: a.Number, Tokens: int64(a.Tokens), Settled: a.Settled, IsMetered: a.IsMetered,
		RetryAfterMs: a.RetryAfter.Milliseconds(), StepUs: a.Step.Microseconds(),
	}
}

func (m answerMessage) answered() ratelimiter.Answered {
	return ratelimiter.Answered{VM: m.VM, Answer: ratelimiter.Answer{
		Account: m.Account, Number: m.Number, Tokens: int(m.Tokens), Settled: m.Settled, IsMetered: m.IsMetered,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond, Step: time.Duration(m.StepUs) * time.Microsecond,
	}}
}

func encode(kind byte, m message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message about the rate of an account")
	}
	if len(b)+headerBytes > maxMessageBytes {
		return nil, &tooLongError{Bytes: len(b) + headerBytes}
	}
	return append([]byte{kind, formatVersion}, b...), nil
}

// tooLongError says that a message doesn't fit a packet, since the account's name is too long.
type tooLongError struct{ Bytes int }

func (e *tooLongError) Error() string {
	return errors.Errorf("message about the rate of an account has %d bytes; at most %d are sent", e.Bytes, maxMessageBytes).Error()
}

// isOwn reports whether the payload is a message of a ratesharer.
func isOwn(payload []byte) bool {
	return len(payload) > 0 && payload[0] >= questionType && payload[0] <= yieldType
}

func decode(b []byte) (message, error) {
	if len(b) < headerBytes || len(b) > maxMessageBytes || b[1] != formatVersion {
		return nil, errors.Errorf("message of %d bytes is of unknown format", len(b))
	}
	kind, body := b[0], b[headerBytes:]
	switch kind {
	case questionType:
		return decodeAs(body, func(m questionMessage) bool {
			return m.VM != "" && m.Account != "" && m.Rate > 0 && isNumber(m.Rate) && m.Burst >= 0 && isNumber(m.Burst) &&
				isCount(m.Wanted)
		})
	case answerType:
		return decodeAs(body, func(m answerMessage) bool {
			return m.VM != "" && m.Account != "" && isCount(m.Tokens) && m.RetryAfterMs >= 0 &&
				m.RetryAfterMs <= maxDuration.Milliseconds() && m.StepUs >= 0 && m.StepUs <= maxDuration.Microseconds()
		})
	case meteringType:
		return decodeAs(body, func(m meteringMessage) bool { return m.Account != "" })
	case claimType:
		return decodeAs(body, func(m claimMessage) bool { return m.VM != "" && m.Account != "" })
	case contestType:
		return decodeAs(body, func(m contestMessage) bool { return m.VM != "" && m.Account != "" })
	case yieldType:
		return decodeAs(body, func(m yieldMessage) bool { return m.VM != "" && m.Account != "" && isNumber(m.Level) })
	}
	return nil, errors.Errorf("message of unknown type %#x", kind)
}

// decodeAs decodes the body and checks it.
func decodeAs[M message](body []byte, isGood func(M) bool) (message, error) {
	var m M
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode message about the rate of an account")
	}
	if !isGood(m) {
		return nil, errors.Errorf("%T has a field that is missing or out of range", m)
	}
	return m, nil
}

func isCount(n int64) bool { return n >= 0 && n <= maxCount }

func isNumber(f float64) bool { return !math.IsNaN(f) && math.Abs(f) <= maxNumber }
