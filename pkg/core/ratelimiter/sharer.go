package ratelimiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// TokenValidity is how long a token may be used, from the moment its question was first sent.
	TokenValidity = 500 * time.Millisecond
	// maxQuestions bounds the questions of one account that are unanswered at the same time; further requests wait and share the
	// next one.
	maxQuestions = 8
	// maxWanted bounds the tokens of one question.
	maxWanted = 1000
	// silencesToAvoid is the number of consecutive questions without an answer after which a coordinator isn't asked for
	// avoidTime; a single one may be lost datagrams.
	silencesToAvoid = 2
	avoidTime       = time.Second
	// unseenShare is the part of the spare that the VMs together may admit before the coordinator knows, beyond one request each.
	unseenShare = 0.15
	// aloneShare is the part of the rate that all VMs together may admit while none of them reaches a coordinator.
	aloneShare = 0.1
	// recentTime is the time over which a VM counts its own admissions.
	recentTime = time.Second
	// idleTime is how long an account is remembered after its last request.
	idleTime = time.Minute
	// aloneRetryAfter is the pause for a caller refused by a VM without a coordinator: about the time until a lost one is replaced.
	aloneRetryAfter = 1500 * time.Millisecond
)

// steps are the times at which an unanswered question is sent again, since it was first sent. The first two coordinators get it
// twice each, about two round trips between regions apart; at the last one the question is given up.
var steps = []struct {
	after       time.Duration
	coordinator int
}{
	{0, 0},
	{70 * time.Millisecond, 0},
	{140 * time.Millisecond, 1},
	{210 * time.Millisecond, 1},
	{280 * time.Millisecond, -1},
}

// question is an unanswered question, or an answered one whose tokens may still arrive from another coordinator.
type question struct {
	number  uint64
	account string
	sentAt  time.Time
	step    int
	ids     []uint64
	peers   Peers
	isOver  bool
}

// due returns when the question is to be sent again or given up.
func (q *question) due() time.Time {
	if q.isOver {
		return q.sentAt.Add(TokenValidity)
	}
	return q.sentAt.Add(steps[q.step+1].after)
}

// usage is what a VM knows of one account.
type usage struct {
	account Account
	usedAt  time.Time
	// isMetered is what the coordinator last said, in the answer to the question with the number answered or later.
	isMetered bool
	answered  uint64
	// taken and settled are those of Question.
	taken, settled uint64
	// recent holds the times of the admissions within recentTime.
	recent []time.Time
	// pocket holds the times until which tokens may be used that came for requests that no longer waited.
	pocket []time.Time
	// open is the number of unanswered questions, backlog the requests that wait until one of them is answered.
	open    int
	backlog []uint64
	peers   Peers
	// aloneLevel is what may be admitted without a coordinator, and aloneAt when it was last raised.
	aloneLevel float64
	aloneAt    time.Time
}

// Sharer decides which requests of a VM are admitted.
type Sharer struct {
	cfg       Config
	usages    map[string]*usage
	questions map[uint64]*question
	number    uint64
	// total counts the requests admitted without a token, of all accounts. A usage that is created anew counts from it, so that
	// its counts never repeat.
	total    uint64
	silences map[string]int
	avoided  map[string]time.Time
}

// NewSharer returns the sharer of a VM.
func NewSharer(cfg Config) *Sharer {
	return &Sharer{
		cfg: cfg, usages: map[string]*usage{}, questions: map[uint64]*question{}, silences: map[string]int{},
		avoided: map[string]time.Time{},
	}
}

// Handle handles an input and returns what is to be done.
func (s *Sharer) Handle(now time.Time, in SharerInput) []SharerOutput {
	switch in := in.(type) {
	case Requested:
		return s.request(now, in)
	case Canceled:
		s.cancel(in.ID)
	case Answered:
		return s.receive(now, in)
	case MeteringNotified:
		if u, ok := s.usages[in.Account]; ok {
			u.isMetered = in.IsMetered
		} else if in.IsMetered {
			// The account may be used here for the first time in the next moment.
			s.usages[in.Account] = &usage{
				account: Account{Name: in.Account}, usedAt: now, isMetered: true, taken: s.total, settled: s.total,
			}
		}
	case Woken:
		return s.wake(now)
	}
	return nil
}

// NextWake returns when Woken is to be handled next; none if no question is open.
func (s *Sharer) NextWake() option.Option[time.Time] {
	next := option.None[time.Time]()
	for _, q := range s.questions {
		if at, ok := next.Get(); !ok || q.due().Before(at) {
			next = option.Some(q.due())
		}
	}
	return next
}

func (s *Sharer) request(now time.Time, in Requested) []SharerOutput {
	if in.Account.Rate <= 0 {
		return []SharerOutput{Admitted{ID: in.ID}}
	}
	u, ok := s.usages[in.Account.Name]
	if !ok {
		u = &usage{taken: s.total, settled: s.total}
		s.usages[in.Account.Name] = u
	}
	u.account, u.usedAt, u.peers = in.Account, now, in.Peers
	switch {
	case u.takeToken(now):
		u.noteAdmission(now)
		return []SharerOutput{Admitted{ID: in.ID}}
	case !in.Peers.IsConnected || len(in.Peers.Coordinators) == 0:
		return []SharerOutput{s.decideAlone(now, u, in.ID)}
	case !u.isMetered && u.taken-u.settled < s.unseen(now, u):
		s.total++
		u.taken++
		u.noteAdmission(now)
		outs := []SharerOutput{Admitted{ID: in.ID}}
		if u.open == 0 {
			outs = append(outs, s.ask(now, u, nil))
		}
		return outs
	case u.open >= maxQuestions:
		u.backlog = append(u.backlog, in.ID)
		return nil
	default:
		return []SharerOutput{s.ask(now, u, []uint64{in.ID})}
	}
}

// unseen returns how many requests of the account this VM may admit before a coordinator knows of them: one, and more for a VM
// that admits much of what the account sends.
func (s *Sharer) unseen(now time.Time, u *usage) uint64 {
	u.dropOld(now)
	return 1 + uint64(s.cfg.spare(u.account)*unseenShare*min(float64(len(u.recent))/u.account.Rate, 1))
}

func (u *usage) dropOld(now time.Time) {
	u.recent = slices.DeleteFunc(u.recent, func(at time.Time) bool { return now.Sub(at) > recentTime })
}

func (u *usage) noteAdmission(now time.Time) {
	u.dropOld(now)
	u.recent = append(u.recent, now)
}

// takeToken uses a token of the pocket; false if there is none.
func (u *usage) takeToken(now time.Time) bool {
	u.pocket = slices.DeleteFunc(u.pocket, now.After)
	if len(u.pocket) == 0 {
		return false
	}
	u.pocket = u.pocket[1:]
	return true
}

// decideAlone admits a request without a coordinator if it fits this VM's fixed part of the rate.
func (s *Sharer) decideAlone(now time.Time, u *usage, id uint64) SharerOutput {
	if u.aloneAt.IsZero() || now.Sub(u.aloneAt) > s.cfg.Window {
		// What VMs save up before they are alone, or before they start, would not be bounded.
		u.aloneLevel, u.aloneAt = 0, now
	}
	u.aloneLevel += now.Sub(u.aloneAt).Seconds() * u.account.Rate * aloneShare / float64(max(u.peers.Count, 1))
	u.aloneLevel, u.aloneAt = min(u.aloneLevel, 1), now
	if u.aloneLevel < 1 {
		return Refused{ID: id, RetryAfter: aloneRetryAfter, IsAlone: true}
	}
	u.aloneLevel--
	u.noteAdmission(now)
	return Admitted{ID: id}
}

// ask sends a question for the requests, and for those admitted without a token.
func (s *Sharer) ask(now time.Time, u *usage, ids []uint64) SharerOutput {
	s.number++
	q := &question{number: s.number, account: u.account.Name, sentAt: now, ids: ids, peers: u.peers}
	q.peers.Coordinators = s.usable(now, u.peers.Coordinators)
	s.questions[q.number] = q
	u.open++
	return s.send(u, q, q.peers.Coordinators[0])
}

func (s *Sharer) send(u *usage, q *question, to string) SharerOutput {
	return Ask{To: to, Question: Question{
		VM: s.cfg.VM, Incarnation: s.cfg.Incarnation, Account: u.account, Number: q.number,
		Wanted: min(len(q.ids), maxWanted), Taken: u.taken, Settled: u.settled,
	}}
}

// usable returns the coordinators with the avoided ones last.
func (s *Sharer) usable(now time.Time, coordinators []string) []string {
	list := slices.Clone(coordinators)
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(s.avoidance(now, a), s.avoidance(now, b)) })
	return list
}

func (s *Sharer) avoidance(now time.Time, vm string) int {
	if until, ok := s.avoided[vm]; ok && now.Before(until) {
		return 1
	}
	return 0
}

func (s *Sharer) cancel(id uint64) {
	isID := func(other uint64) bool { return other == id }
	for _, u := range s.usages {
		u.backlog = slices.DeleteFunc(u.backlog, isID)
	}
	for _, q := range s.questions {
		q.ids = slices.DeleteFunc(q.ids, isID)
	}
}

func (s *Sharer) receive(now time.Time, in Answered) []SharerOutput {
	delete(s.silences, in.VM)
	delete(s.avoided, in.VM)
	q, ok := s.questions[in.Answer.Number]
	if !ok || q.account != in.Answer.Account {
		return nil
	}
	u, ok := s.usages[q.account]
	if !ok {
		return nil
	}
	u.settled = max(u.settled, min(in.Answer.Settled, u.taken))
	if q.number >= u.answered {
		u.answered, u.isMetered = q.number, in.Answer.IsMetered
	}
	tokens := in.Answer.Tokens
	if now.Sub(q.sentAt) > TokenValidity {
		tokens = 0
	}
	var outs []SharerOutput
	refused := 0
	for _, id := range q.ids {
		if tokens > 0 {
			tokens--
			u.noteAdmission(now)
			outs = append(outs, Admitted{ID: id})
			continue
		}
		outs = append(outs, Refused{ID: id, RetryAfter: in.Answer.RetryAfter + time.Duration(refused)*in.Answer.Step})
		refused++
	}
	q.ids = nil
	for range min(tokens, maxWanted) {
		u.pocket = append(u.pocket, q.sentAt.Add(TokenValidity))
	}
	if q.isOver {
		return outs
	}
	q.isOver = true
	u.open--
	return append(outs, s.askNext(now, u)...)
}

// askNext sends the question for what has waited for the end of another one.
func (s *Sharer) askNext(now time.Time, u *usage) []SharerOutput {
	if len(u.backlog) == 0 && (u.taken == u.settled || u.open > 0) {
		return nil
	}
	n := min(len(u.backlog), maxWanted)
	ids := slices.Clone(u.backlog[:n])
	u.backlog = slices.Delete(u.backlog, 0, n)
	if !u.peers.IsConnected || len(u.peers.Coordinators) == 0 {
		var outs []SharerOutput
		for _, id := range ids {
			outs = append(outs, s.decideAlone(now, u, id))
		}
		return outs
	}
	return []SharerOutput{s.ask(now, u, ids)}
}

func (s *Sharer) wake(now time.Time) []SharerOutput {
	var outs []SharerOutput
	for _, number := range slices.Sorted(maps.Keys(s.questions)) {
		if q := s.questions[number]; !now.Before(q.due()) {
			outs = append(outs, s.advance(now, q)...)
		}
	}
	for name, u := range s.usages {
		if now.Sub(u.usedAt) > idleTime && u.open == 0 {
			delete(s.usages, name)
		}
	}
	return outs
}

// advance sends the question again or gives it up.
func (s *Sharer) advance(now time.Time, q *question) []SharerOutput {
	if q.isOver {
		delete(s.questions, q.number)
		return nil
	}
	u := s.usages[q.account]
	for q.step+1 < len(steps) && !now.Before(q.due()) {
		q.step++
	}
	coordinators := q.peers.Coordinators
	next := steps[q.step].coordinator
	if next >= 1 || next < 0 {
		s.recordSilence(q, now)
	}
	if next >= 0 && next < len(coordinators) {
		return []SharerOutput{s.send(u, q, coordinators[next])}
	}
	if next >= 0 {
		return []SharerOutput{s.send(u, q, coordinators[0])}
	}
	q.isOver = true
	u.open--
	var outs []SharerOutput
	for _, id := range q.ids {
		outs = append(outs, s.decideAlone(now, u, id))
	}
	q.ids = nil
	if len(u.backlog) > 0 {
		return append(outs, s.askNext(now, u)...)
	}
	return outs
}

// recordSilence records once per question that its first coordinator did not answer.
func (s *Sharer) recordSilence(q *question, now time.Time) {
	first := q.peers.Coordinators[0]
	if steps[q.step].coordinator != 1 || steps[q.step-1].coordinator == 1 {
		return
	}
	if s.silences[first]++; s.silences[first] >= silencesToAvoid {
		delete(s.silences, first)
		s.avoided[first] = now.Add(avoidTime)
	}
}
