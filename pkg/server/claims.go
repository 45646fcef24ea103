package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/claimer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	inlineAnswerBytes = 64 << 10
	settleInterval    = 500 * time.Millisecond
	settleTimeout     = 5 * time.Second
	claimsPoll        = 5 * time.Millisecond
	holderTimeout     = time.Second
)

// ClaimRunner runs the claimers of this VM: it executes their reads and writes of the store and their attempts.
type ClaimRunner struct {
	vm         string
	store      storer.Store
	membership *messenger.Membership
	caller     *messenger.Caller
	log        logrus.FieldLogger

	mu         sync.Mutex
	inProgress map[string]struct{}
	isClosed   bool
}

// refusedLeaving is the reason for which a closed claim runner makes no attempt.
const refusedLeaving = "this VM is leaving"

// UnsettledError says that the time of a stop ended before the outcomes of attempts were stored.
type UnsettledError struct {
	Attempts int
}

// Error gives the number of attempts.
func (e *UnsettledError) Error() string {
	return strconv.Itoa(e.Attempts) + " outcomes not stored: a repeat of these requests gets outcomeUnknown"
}

// NewClaimRunner returns the claim runner of the VM named vm.
func NewClaimRunner(
	vm string, s storer.Store, m *messenger.Membership, c *messenger.Caller, log logrus.FieldLogger,
) *ClaimRunner {
	return &ClaimRunner{vm: vm, store: s, membership: m, caller: c, log: log, inProgress: map[string]struct{}{}}
}

// IsInProgress reports whether this VM still runs the attempt or still stores its outcome.
func (c *ClaimRunner) IsInProgress(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.inProgress[attempt]
	return ok
}

// Stop makes no further attempts, and waits until the outcomes of all attempts are stored. If ctx ends first, it returns an
// *UnsettledError.
func (c *ClaimRunner) Stop(ctx context.Context) error {
	for {
		left := c.close()
		if left == 0 {
			return nil
		}
		if !sleeper.Sleep(ctx, claimsPoll) {
			return &UnsettledError{Attempts: left}
		}
	}
}

// close refuses further attempts and returns the number of those in progress.
func (c *ClaimRunner) close() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	return len(c.inProgress)
}

// begin marks the attempt as in progress, unless the runner is closed.
func (c *ClaimRunner) begin(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosed {
		c.inProgress[attempt] = struct{}{}
	}
	return !c.isClosed
}

func (c *ClaimRunner) end(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, attempt)
}

// Dispatch makes the only attempt of a request and returns its answer and outcome.
type Dispatch func(ctx context.Context) (claimer.Answer, outcome.Outcome)

// claimRun is one run of a claimer.
type claimRun struct {
	*ClaimRunner
	key        string
	attempt    string
	core       *claimer.Claimer
	dispatch   Dispatch
	isSettling bool
	result     claimer.Output
}

// Run executes one request that may not be repeated; it returns a claimer.Replied or a claimer.Refused.
func (c *ClaimRunner) Run(
	ctx context.Context, account, idempotencyKey, fingerprint string, deadline time.Time, dispatch Dispatch,
) claimer.Output {
	sum := sha256.Sum256([]byte(idempotencyKey))
	run := &claimRun{
		ClaimRunner: c, key: "claim/" + account + "/" + hex.EncodeToString(sum[:]), attempt: uuid.NewString(), dispatch: dispatch,
	}
	run.core = claimer.New(fingerprint, run.attempt, c.vm, deadline)
	if !c.begin(run.attempt) {
		return claimer.Refused{Refusal: refusedLeaving, Outcome: outcome.NotRun{Reason: refusedLeaving}, RetryAfter: time.Second}
	}
	defer func() {
		if !run.isSettling {
			c.end(run.attempt)
		}
	}()
	var in claimer.Input = claimer.Arrived{}
	for run.result == nil {
		next := run.step(ctx, in)
		if next == nil && run.result == nil {
			next = run.waitForWake(ctx)
		}
		in = next
	}
	return run.result
}

// step hands one input to the claimer and executes the outputs; it returns the next input, or nil if the claimer has to wait.
func (r *claimRun) step(ctx context.Context, in claimer.Input) claimer.Input {
	var next claimer.Input
	for _, out := range r.core.Handle(time.Now(), in) {
		switch out := out.(type) {
		case claimer.WriteRow:
			next = r.writeRow(ctx, out.Claim, out.Version)
		case claimer.ReadRow:
			next = r.readRow(ctx)
		case claimer.Dispatch:
			next = r.runAttempt(ctx)
		case claimer.AskHolder:
			next = claimer.HolderStatus{IsAtWork: r.isHolderInProgress(ctx, out)}
		case claimer.Settle:
			r.isSettling = true
			go r.runSettle(out.Claim)
		case claimer.Replied:
			r.result = r.withBody(ctx, out)
		case claimer.Refused:
			r.result = out
		}
	}
	return next
}

// runAttempt makes the attempt, unless the runner was closed meanwhile: the VM may end before the attempt does.
func (r *claimRun) runAttempt(ctx context.Context) claimer.Input {
	r.mu.Lock()
	isClosed := r.isClosed
	r.mu.Unlock()
	if isClosed {
		return claimer.AttemptEnded{Outcome: outcome.NotRun{Reason: refusedLeaving, RetryAfter: time.Second}}
	}
	answer, o := r.dispatch(ctx)
	return claimer.AttemptEnded{Outcome: o, Answer: answer}
}

// waitForWake waits until the claimer's next wake-up; the run ends if the caller disconnects first.
func (r *claimRun) waitForWake(ctx context.Context) claimer.Input {
	wake, ok := r.core.NextWake().Get()
	if !ok {
		return claimer.Woken{}
	}
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		r.result = claimer.Refused{Refusal: claimer.RefusedInFlight, Outcome: outcome.Unknown{Reason: "caller left"}}
	}
	return claimer.Woken{}
}

// writeRow writes the claim's row even if the caller has disconnected, because every claim must reach a final state.
func (r *claimRun) writeRow(ctx context.Context, claim claimer.Claim, version int64) claimer.Input {
	ctx = context.WithoutCancel(ctx)
	claim, err := r.withObject(ctx, claim)
	if err != nil {
		return claimer.WriteUncertain{}
	}
	tx := storer.Transaction{
		Checks: []storer.Check{{Key: r.key, Version: version}},
		Puts:   []storer.Put{storer.PutJSON(r.key, claim)},
	}
	written, err := r.store.Commit(ctx, tx)
	var conflict *storer.ConflictError
	var unavailable *storer.UnavailableError
	switch {
	case err == nil:
		return claimer.Written{Version: written}
	case errors.As(err, &conflict):
		return r.readRow(ctx)
	case errors.As(err, &unavailable) && !unavailable.MayHaveRun:
		return claimer.WriteRefused{}
	default:
		return claimer.WriteUncertain{}
	}
}

func (r *claimRun) readRow(ctx context.Context) claimer.Input {
	claim, version, err := storer.ReadJSON[claimer.Claim](context.WithoutCancel(ctx), r.store, r.key)
	if err != nil {
		return claimer.ReadFailed{}
	}
	return claimer.Found{Claim: claim, Version: version}
}

// withObject moves an answer of more than inlineAnswerBytes from the row into an object.
func (r *claimRun) withObject(ctx context.Context, claim claimer.Claim) (claimer.Claim, error) {
	if len(claim.Answer.Body) <= inlineAnswerBytes {
		return claim, nil
	}
	name := "answer/" + claim.Attempt
	if err := r.store.PutObject(ctx, name, claim.Answer.Body); err != nil {
		return claim, err
	}
	claim.Answer.Object, claim.Answer.Body = name, nil
	return claim, nil
}

// withBody loads the answer's body if it is stored as an object.
func (r *claimRun) withBody(ctx context.Context, out claimer.Replied) claimer.Output {
	if out.Answer.Object == "" {
		return out
	}
	body, err := r.store.GetObject(ctx, out.Answer.Object)
	if err == nil {
		defer func() { _ = body.Close() }()
		out.Answer.Body, err = io.ReadAll(body)
	}
	if err != nil {
		return claimer.Refused{Refusal: claimer.RefusedStore, Outcome: outcome.Unknown{Reason: err.Error()}, RetryAfter: storeRetry}
	}
	return out
}

// isHolderInProgress asks the VM that holds the claim whether the attempt is still in progress. If a member that is not
// marked lost doesn't answer, the attempt counts as in progress.
func (r *claimRun) isHolderInProgress(ctx context.Context, out claimer.AskHolder) bool {
	if out.VM == r.vm {
		return r.IsInProgress(out.Attempt)
	}
	m, ok := r.membership.View().Member(out.VM)
	if !ok || m.State == detector.Lost {
		return false
	}
	client, err := r.caller.VM(m.Address)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	reply, err := client.Attempt(ctx, &wire.AttemptRequest{Attempt: out.Attempt})
	return err != nil || reply.GetAtWork()
}

// runSettle retries writing the claim's state until the row holds it or another attempt's claim, however long the store is
// unavailable.
//
// An absent row is written too, so that a delayed insert of the same claim finds a row and has no effect.
func (r *claimRun) runSettle(claim claimer.Claim) {
	defer r.end(r.attempt)
	for !r.trySettle(claim) {
		time.Sleep(settleInterval)
	}
}

func (r *claimRun) trySettle(claim claimer.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	found, version, err := storer.ReadJSON[claimer.Claim](ctx, r.store, r.key)
	if err != nil {
		return false
	}
	if version > 0 && (found.Attempt != claim.Attempt || found.State == claim.State) {
		return true
	}
	_, isWritten := r.writeRow(ctx, claim, version).(claimer.Written)
	if isWritten {
		r.log.WithFields(logrus.Fields{"claim": r.key, "state": claim.State}).Info("claim's state stored in the background")
	}
	return isWritten
}
