package ratesharer

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
)

var (
	testQuestion = ratelimiter.Question{
		VM: "v", Incarnation: math.MaxInt64, Account: ratelimiter.Account{Name: "a", Rate: 0.63, Burst: 1.5}, Number: 1 << 63,
		Wanted: 3, Taken: 1<<64 - 1, Settled: 5,
	}
	testAnswer = ratelimiter.Answer{
		Account: "a", Number: 7, Tokens: 2, Settled: 9, IsMetered: true, RetryAfter: 1500 * time.Millisecond,
		Step: 1587 * time.Microsecond,
	}
)

// TestMessagesKeepTheirFields guards against fields that are lost or mixed up between encoding and decoding.
func TestMessagesKeepTheirFields(t *testing.T) {
	for kind, m := range map[byte]message{
		questionType: newQuestion(testQuestion), answerType: newAnswer("v", testAnswer),
		meteringType: meteringMessage{Account: "a", IsMetered: true},
		claimType:    claimMessage{VM: "v", Account: "a", Number: 8}, contestType: contestMessage{VM: "v", Account: "a"},
		yieldType: yieldMessage{VM: "v", Account: "a", Number: 8, Level: -3.5},
	} {
		b, err := encode(kind, m)
		require.NoError(t, err)
		assert.True(t, isOwn(b))
		got, err := decode(b)
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
	assert.Equal(t, testQuestion, newQuestion(testQuestion).question())
	assert.Equal(t, ratelimiter.Answered{VM: "v", Answer: testAnswer}, newAnswer("v", testAnswer).answered())
}

// TestFieldsOutOfRangeAreRefused guards against a rate or a level that is no number, which would never leave a bucket.
func TestFieldsOutOfRangeAreRefused(t *testing.T) {
	rate, level := newQuestion(testQuestion), yieldMessage{VM: "v", Account: "a", Level: math.Inf(1)}
	rate.Rate = math.NaN()
	wanted := newQuestion(testQuestion)
	wanted.Wanted = -1
	for kind, list := range map[byte][]message{questionType: {rate, wanted}, yieldType: {level}} {
		for _, m := range list {
			b, err := encode(kind, m)
			require.NoError(t, err)
			_, err = decode(b)
			assert.Error(t, err, "%+v", m)
		}
	}
}

// TestLongMessagesAreNotSent guards against datagrams over the size limit.
func TestLongMessagesAreNotSent(t *testing.T) {
	_, err := encode(meteringType, meteringMessage{Account: strings.Repeat("a", maxMessageBytes)})
	tooLong := (*tooLongError)(nil)
	require.ErrorAs(t, err, &tooLong)
	assert.Greater(t, tooLong.Bytes, maxMessageBytes)
}

// FuzzDecode decodes arbitrary payloads and handles them as a sharer does: none may end the process.
func FuzzDecode(f *testing.F) {
	for kind, m := range map[byte]message{
		questionType: newQuestion(testQuestion), answerType: newAnswer("v", testAnswer),
		meteringType: meteringMessage{Account: "a", IsMetered: true},
		claimType:    claimMessage{VM: "v", Account: "a"}, contestType: contestMessage{VM: "v", Account: "a"},
		yieldType: yieldMessage{VM: "v", Account: "a", Level: 1},
	} {
		b, err := encode(kind, m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fl := &fleet{names: []string{"v", "w"}, queue: make(chan func(), 64)}
		s := newTestSharer(fl, "w")
		if s.Receive(b) != isOwn(b) {
			t.Fatal("a payload of another component was taken")
		}
	})
}
