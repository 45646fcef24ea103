package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

const (
	// PoisonMark in a prompt makes the engine answer with status 500, so that a batch item with it always fails.
	PoisonMark          = "[poison]"
	defaultAnswerTokens = 24
	loadReportInterval  = time.Second
	streamRetention     = 60 * time.Second
	maxEvents           = 4096
)

var vocabulary = []string{
	"lime", "kiln", "grave", "wreath", "spruce", "lily", "slot", "fire", "ash", "heather",
	"stone", "quarry", "van", "route", "card", "candle", "moss", "autumn", "charge", "sheet",
}

// EngineFaults are the faults that can be injected.
//
// IsRefusing answers new requests with status 503 before they run. A CutAfterTokens above zero ends the next stream that
// reaches this many tokens: without its end marker if IsCutClean, else with the connection closed. SlowFactor multiplies
// the duration of every step; zero counts as one.
type EngineFaults struct {
	IsRefusing     bool `json:"isRefusing"`
	CutAfterTokens int  `json:"cutAfterTokens"`
	IsCutClean     bool `json:"isCutClean"`
	SlowFactor     int  `json:"slowFactor"`
}

// LoadReport is the engine's load at the time At, up to one second old.
type LoadReport struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	At      time.Time `json:"at"`
}

// CacheEvent reports that the engine added prompt blocks to its prefix cache; Number grows by one with each event.
type CacheEvent struct {
	Number int64    `json:"number"`
	Blocks []uint64 `json:"blocks"`
}

// stream is one answer with the tokens generated so far.
type stream struct {
	seq        *Sequence
	text       []string
	isPaused   bool
	isFinished bool
	// changed is closed and replaced when the stream changes.
	changed chan struct{}
	// watchers counts the requests that receive the stream; leftAt is when the number last changed or the stream was paused.
	watchers int
	leftAt   time.Time
}

// Engine runs an EngineModel in real time.
type Engine struct {
	mu        sync.Mutex
	model     *EngineModel
	streams   map[string]*stream
	faults    EngineFaults
	report    LoadReport
	events    []CacheEvent
	lastEvent int64
	// fence is the highest fencing token received, orders are those carried out.
	fence    int64
	orders   []Order
	isFenced bool
	wake     chan struct{}
	// executed counts, by stream id, how often a request was started.
	executed map[string]int
}

// NewEngine returns an engine; isFenced makes it refuse orders with a fencing token lower than the highest received.
func NewEngine(t EngineTiming, isFenced bool) *Engine {
	return &Engine{
		model:    NewEngineModel(t),
		streams:  map[string]*stream{},
		isFenced: isFenced,
		wake:     make(chan struct{}, 1),
		executed: map[string]int{},
	}
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	go e.runReports(ctx)
	for {
		took := e.step()
		if took == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(took):
		}
	}
}

// runReports updates the load report and removes unwatched streams every loadReportInterval.
func (e *Engine) runReports(ctx context.Context) {
	tick := time.NewTicker(loadReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.mu.Lock()
			e.report = LoadReport{Running: e.model.Running(), Waiting: e.model.Waiting(), At: now}
			e.removeUnwatched(now)
			e.mu.Unlock()
		}
	}
}

// step runs one step of the model, adds its tokens to the streams and returns how long the step takes, or zero if the
// engine is idle.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	took, emissions := e.model.Step()
	for _, em := range emissions {
		s := e.streams[em.Sequence.ID]
		s.text = append(s.text, AnswerToken(em.Sequence.Blocks, len(s.text)))
		s.isFinished = em.IsLast
		s.notifyWatchers()
	}
	return took * time.Duration(max(1, e.faults.SlowFactor))
}

// notifyWatchers wakes the requests that receive the stream.
func (s *stream) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeUnwatched cancels the streams that no request has received for streamRetention.
func (e *Engine) removeUnwatched(now time.Time) {
	for id, s := range e.streams {
		if s.watchers == 0 && now.Sub(s.leftAt) > streamRetention {
			e.model.Remove(id)
			delete(e.streams, id)
		}
	}
}

// start begins the answer to req, or returns the stream that already has this id. The answer depends on the prompt's text
// alone, so that every engine gives the same one.
func (e *Engine) start(id string, req encoder.ChatRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		return s
	}
	prompt := encoder.PromptText(req)
	blocks := append(encoder.PromptBlocks(prompt), xxhash.Sum64String(prompt))
	s := &stream{
		seq: &Sequence{
			ID:           id,
			Blocks:       blocks,
			PromptTokens: max(1, encoder.CountTokens(prompt)),
			WantTokens:   req.TokenLimit(defaultAnswerTokens),
		},
		changed: make(chan struct{}),
		leftAt:  time.Now(),
	}
	e.streams[id] = s
	e.executed[id]++
	e.addEvent(blocks)
	e.model.Add(s.seq)
	e.wakeUp()
	return s
}

func (e *Engine) addEvent(blocks []uint64) {
	e.lastEvent++
	e.events = append(e.events, CacheEvent{Number: e.lastEvent, Blocks: blocks})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

// resume returns the stream with the id and, if it was paused, continues it.
func (e *Engine) resume(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if ok && s.isPaused {
		s.isPaused = false
		e.model.Add(s.seq)
		e.wakeUp()
	}
	return s, ok
}

// stop pauses a stream, keeping its tokens, or cancels it if keepsTokens is false.
func (e *Engine) stop(id string, keepsTokens bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return
	}
	e.model.Pause(s.seq)
	s.isPaused = true
	s.leftAt = time.Now()
	s.notifyWatchers()
	if !keepsTokens {
		delete(e.streams, id)
	}
}

// wakeUp makes Run continue if the engine is idle.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// AnswerToken returns token i of the answer to the prompt that has these blocks.
func AnswerToken(blocks []uint64, i int) string {
	h := blocks[len(blocks)-1] + uint64(i)*0x9e3779b97f4a7c15
	token := vocabulary[(h>>17)%uint64(len(vocabulary))]
	if i == 0 {
		return token
	}
	return " " + token
}
