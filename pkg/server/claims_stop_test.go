package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/claimer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

var created = claimer.Answer{Status: http.StatusCreated, Body: []byte("booked")}

// book makes a booking with the key "k"; isRun is set when its attempt runs, and during is called while it runs.
func book(c *ClaimRunner, during func()) (out claimer.Output, isRun bool) {
	out = c.Run(context.Background(), "a", "k", "f", time.Now().Add(time.Minute),
		func(context.Context) (claimer.Answer, outcome.Outcome) {
			isRun = true
			during()
			return created, outcome.Completed{}
		})
	return out, isRun
}

func newTestClaims(s storer.Store) *ClaimRunner {
	log, _ := logtest.NewNullLogger()
	return NewClaimRunner("v", s, nil, nil, log)
}

// TestOutcomeIsStoredBeforeTheEnd stops a VM while the store does not take the answer of a booking that was made. The repeat,
// on the restarted VM, must get that answer.
func TestOutcomeIsStoredBeforeTheEnd(t *testing.T) {
	t.Parallel()
	s, _ := newTestServer(t, nil)
	store := emulator.NewPlatform()
	s.Claims = newTestClaims(store)
	out, _ := book(s.Claims, func() { store.SetFaults(emulator.PlatformFaults{IsDown: true}) })
	require.Equal(t, claimer.Replied{Answer: created}, out)
	time.AfterFunc(settleInterval, func() { store.SetFaults(emulator.PlatformFaults{}) })
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	require.NoError(t, s.Drain(ctx))
	assert.NoError(t, s.Stop(ctx))
	out, isRepeated := book(newTestClaims(store), func() {})
	assert.Equal(t, claimer.Replied{Answer: created}, out)
	assert.False(t, isRepeated)
}

// TestUnsettledOutcomeEndsTheStop stops a claim runner while the store stays down.
func TestUnsettledOutcomeEndsTheStop(t *testing.T) {
	t.Parallel()
	store := emulator.NewPlatform()
	c := newTestClaims(store)
	book(c, func() { store.SetFaults(emulator.PlatformFaults{IsDown: true}) })
	defer store.SetFaults(emulator.PlatformFaults{})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- c.Stop(ctx) }()
	select {
	case err := <-stopped:
		unsettled := (*UnsettledError)(nil)
		require.ErrorAs(t, err, &unsettled)
		assert.Equal(t, 1, unsettled.Attempts)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the stop goes on after the end of its context")
	}
}

// TestClosedClaimRunnerMakesNoAttempt sends a booking after the stop.
func TestClosedClaimRunnerMakesNoAttempt(t *testing.T) {
	t.Parallel()
	store := emulator.NewPlatform()
	c := newTestClaims(store)
	require.NoError(t, c.Stop(context.Background()))
	out, isRun := book(c, func() {})
	refused, ok := out.(claimer.Refused)
	require.True(t, ok)
	assert.IsType(t, outcome.NotRun{}, refused.Outcome)
	assert.False(t, isRun)
	rows, err := store.List(context.Background(), "claim/", "", 1)
	require.NoError(t, err)
	assert.Empty(t, rows, "a claim was written")
}

// closingStore calls onCommit before its first commit.
type closingStore struct {
	*emulator.Platform
	onCommit func()
}

func (s *closingStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if s.onCommit != nil {
		s.onCommit()
		s.onCommit = nil
	}
	return s.Platform.Commit(ctx, tx)
}

// TestAttemptDoesNotBeginAfterTheClose closes the runner while the claim of a booking is written; a repeat may run.
func TestAttemptDoesNotBeginAfterTheClose(t *testing.T) {
	t.Parallel()
	store := &closingStore{Platform: emulator.NewPlatform()}
	c := newTestClaims(store)
	store.onCommit = func() { c.close() }
	out, isRun := book(c, func() {})
	assert.IsType(t, claimer.Refused{}, out)
	assert.False(t, isRun)
	require.NoError(t, c.Stop(context.Background()))
	out, isRun = book(newTestClaims(store), func() {})
	assert.Equal(t, claimer.Replied{Answer: created}, out)
	assert.True(t, isRun)
}
