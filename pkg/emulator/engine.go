package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

const (
	// PoisonMark in a prompt makes an item that can never be done.
	PoisonMark          = "[poison]"
	defaultAnswerTokens = 24
	loadReportEvery     = time.Second
	streamKeptFor       = 60 * time.Second
	eventsKept          = 4096
)

var vocabulary = []string{
	"lime", "kiln", "grave", "wreath", "spruce", "lily", "slot", "fire", "ash", "heather",
	"stone", "quarry", "van", "route", "card", "candle", "moss", "autumn", "charge", "sheet",
}

// EngineFaults are the faults that can be switched on.
type EngineFaults struct {
	IsRefusing     bool `json:"isRefusing"`
	CutAfterTokens int  `json:"cutAfterTokens"`
	IsCutClean     bool `json:"isCutClean"`
	SlowFactor     int  `json:"slowFactor"`
}

// LoadReport is what the engine says of itself, up to a second late.
type LoadReport struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	At      time.Time `json:"at"`
}

// CacheEvent says that the engine took prompt blocks into its cache; Number grows by one for each event.
type CacheEvent struct {
	Number int64    `json:"number"`
	Blocks []uint64 `json:"blocks"`
}

// stream is one answer and all that it said so far.
type stream struct {
	seq        *Sequence
	text       []string
	isPaused   bool
	isFinished bool
	changed    chan struct{}
	watchers   int
	leftAt     time.Time
}

// Engine runs an EngineModel in real time.
type Engine struct {
	mu       sync.Mutex
	model    *EngineModel
	streams  map[string]*stream
	faults   EngineFaults
	report   LoadReport
	events   []CacheEvent
	eventNo  int64
	fence    int64
	orders   []Order
	isFenced bool
	wake     chan struct{}
	executed map[string]int
}

// NewEngine returns an engine; isFenced makes it refuse orders that carry an old fencing number.
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

func (e *Engine) runReports(ctx context.Context) {
	tick := time.NewTicker(loadReportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.mu.Lock()
			e.report = LoadReport{Running: e.model.Running(), Waiting: e.model.Waiting(), At: now}
			e.dropLeft(now)
			e.mu.Unlock()
		}
	}
}

func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	took, emissions := e.model.Step()
	for _, em := range emissions {
		s := e.streams[em.Sequence.ID]
		s.text = append(s.text, Word(em.Sequence.Blocks, len(s.text)))
		s.isFinished = em.IsLast
		s.announce()
	}
	return took * time.Duration(max(1, e.faults.SlowFactor))
}

func (s *stream) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropLeft cancels streams that nobody has watched for a while.
func (e *Engine) dropLeft(now time.Time) {
	for id, s := range e.streams {
		if s.watchers == 0 && now.Sub(s.leftAt) > streamKeptFor {
			e.model.Remove(id)
			delete(e.streams, id)
		}
	}
}

// start begins the answer to req; the prompt's text alone decides the answer, so every engine says the same.
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
	}
	e.streams[id] = s
	e.executed[id]++
	e.addEvent(blocks)
	e.model.Add(s.seq)
	e.poke()
	return s
}

func (e *Engine) addEvent(blocks []uint64) {
	e.eventNo++
	e.events = append(e.events, CacheEvent{Number: e.eventNo, Blocks: blocks})
	if len(e.events) > eventsKept {
		e.events = e.events[1:]
	}
}

// resume finds a stream and takes it up again when it was paused.
func (e *Engine) resume(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if ok && s.isPaused {
		s.isPaused = false
		e.model.Add(s.seq)
		e.poke()
	}
	return s, ok
}

// stop cancels a stream, or pauses it and keeps the tokens done.
func (e *Engine) stop(id string, isKept bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return
	}
	e.model.Pause(s.seq)
	s.isPaused = true
	s.leftAt = time.Now()
	s.announce()
	if !isKept {
		delete(e.streams, id)
	}
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Word returns token i of the answer to the prompt with these blocks.
func Word(blocks []uint64, i int) string {
	h := blocks[len(blocks)-1] + uint64(i)*0x9e3779b97f4a7c15
	word := vocabulary[(h>>17)%uint64(len(vocabulary))]
	if i == 0 {
		return word
	}
	return " " + word
}
