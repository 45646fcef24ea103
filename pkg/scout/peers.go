package scout

import (
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/surveyor"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// maxAsked is the number of VMs that a question goes to: some of them may be partitioned as well, and not know it yet.
	maxAsked = 4
	// answerTimeout is how long their answers may take: the time-outs of two connections, one after the other, and a round trip.
	answerTimeout = 2*surveyor.ProbeTimeout + 50*time.Millisecond
	// maxAnswering bounds the questions of other VMs that this VM answers at a time. Others remain without an answer.
	maxAnswering = 32
	// maxOthers is the number of endpoints that are tried to learn whether this VM's links are sound: a single one may have ended.
	maxOthers = 3
)

// Peers reaches other VMs.
type Peers interface {
	// InTouch returns up to n VMs, drawn at random, that are not known to be partitioned from the endpoints, near ones first.
	InTouch(n int) []string
	// Send sends a payload to a VM once; a lost one is not resent.
	Send(vm string, payload []byte)
}

// ask asks other VMs whether they reach any of the endpoints. It returns false for isKnown if none of them could tell.
func (s *Scout) ask(ctx context.Context, endpoints []string) (hasReached, isKnown bool) {
	vms := s.peers.InTouch(maxAsked)
	if len(vms) == 0 {
		return false, false
	}
	answers := make(chan answer, len(vms))
	s.mu.Lock()
	s.lastNumber++
	number := s.lastNumber
	s.asks[number] = answers
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.asks, number)
	}()
	payload, err := encode(questionType, question{VM: s.vm, Number: number, Endpoints: endpoints[:min(len(endpoints), maxNamed)]})
	if err != nil {
		s.log.WithError(err).Error("question about links not sent")
		return false, false
	}
	for _, vm := range vms {
		s.Counters.Questions.Add(1)
		s.peers.Send(vm, payload)
	}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	for range vms {
		select {
		case <-ctx.Done():
			return false, false
		case <-timeout.C:
			return false, isKnown
		case a := <-answers:
			isKnown = isKnown || a.IsKnown
			if a.IsKnown && a.HasReached {
				return true, true
			}
		}
	}
	return false, isKnown
}

// runAsk asks other VMs for the surveyor.
func (s *Scout) runAsk(ctx context.Context, endpoints []string) {
	hasReached, isKnown := s.ask(ctx, endpoints)
	if !isKnown {
		return
	}
	if !hasReached {
		s.vouchedAt.Store(int64(time.Since(s.started)))
	}
	s.observe(surveyor.Answered{HasReached: hasReached})
}

// Receive handles a message of another VM's scout; it returns false if the payload is none.
func (s *Scout) Receive(ctx context.Context, payload []byte) bool {
	if !isOwn(payload) {
		return false
	}
	m, err := decode(payload)
	if err != nil {
		s.Counters.Malformed.Add(1)
		return true
	}
	switch m := m.(type) {
	case question:
		if s.answering.Add(1) > maxAnswering {
			s.answering.Add(-1)
			return true
		}
		go s.runAnswer(ctx, m)
	case answer:
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.asks[m.Number] <- m:
		default:
		}
	}
	return true
}

// runAnswer opens connections to the endpoints of a question. That none of them is reached is known only if another endpoint is.
func (s *Scout) runAnswer(ctx context.Context, q question) {
	defer s.answering.Add(-1)
	began := time.Now()
	a := answer{Number: q.Number}
	if !s.IsPartitioned() {
		a.HasReached = s.reachesAny(ctx, q.Endpoints)
		a.IsKnown = a.HasReached || s.hearsOther(ctx, began, q.Endpoints)
	}
	payload, err := encode(answerType, a)
	if err != nil {
		s.log.WithError(err).Error("answer about links not sent")
		return
	}
	s.peers.Send(q.VM, payload)
}

// reachesAny reports whether a connection to any of the endpoints can be opened.
func (s *Scout) reachesAny(ctx context.Context, ids []string) bool {
	registered := s.registry().Endpoints
	var endpoints []registrar.Endpoint
	for _, id := range ids {
		if e, ok := registered[id]; ok {
			endpoints = append(endpoints, e)
		}
	}
	return s.probeAny(ctx, endpoints)
}

// probeAny opens connections to the endpoints at once, and reports whether one of them is established.
func (s *Scout) probeAny(ctx context.Context, endpoints []registrar.Endpoint) bool {
	results := make(chan bool, len(endpoints))
	for _, e := range endpoints {
		go func() { results <- s.probe(ctx, e) }()
	}
	for range endpoints {
		if <-results {
			return true
		}
	}
	return false
}

// hearsOther reports whether an endpoint has shown life since the time, or one of some others than these does when it is asked.
func (s *Scout) hearsOther(ctx context.Context, since time.Time, asked []string) bool {
	if s.HasHeardSince(since) {
		return true
	}
	avoid := map[string]bool{}
	for _, id := range asked {
		avoid[id] = true
	}
	s.mu.Lock()
	chosen := s.choose(s.registry().Endpoints, surveyor.Probe{Count: maxOthers, Avoid: avoid})
	s.mu.Unlock()
	return s.probeAny(ctx, chosen)
}

// Vouches reports whether what failed at the endpoint since the time was the endpoint's failure: another endpoint has shown life
// since, or no other VM says that it reaches the endpoint.
func (s *Scout) Vouches(ctx context.Context, since time.Time, endpoint string) bool {
	for range 2 {
		if s.HasHeardSince(since) {
			return true
		}
		hasReached, isKnown := s.ask(ctx, []string{endpoint})
		if isKnown {
			return !hasReached
		}
		if !sleeper.Sleep(ctx, surveyor.WakeInterval) {
			return false
		}
	}
	return !s.IsPartitioned()
}
