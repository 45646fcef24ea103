package emulator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineTiming says how long the steps of an engine take and how much it holds.
type EngineTiming struct {
	StepBase          time.Duration
	StepPerSequence   time.Duration
	PrefillPerToken   time.Duration
	PrefillStepTokens int
	MaxSequences      int
	CacheBlocks       int
	BlockTokens       int
}

// DefaultEngineTiming returns the timing of a small engine that holds 16 sequences at about 24 ms a token.
func DefaultEngineTiming() EngineTiming {
	return EngineTiming{
		StepBase:          8 * time.Millisecond,
		StepPerSequence:   time.Millisecond,
		PrefillPerToken:   20 * time.Microsecond,
		PrefillStepTokens: 512,
		MaxSequences:      16,
		CacheBlocks:       512,
		BlockTokens:       16,
	}
}

// Sequence is one answer in the making.
type Sequence struct {
	ID           string
	Blocks       []uint64
	PromptTokens int
	WantTokens   int
	Done         int

	prefillLeft int
}

// Emission says that the sequence has one more token; IsLast marks its end.
type Emission struct {
	Sequence *Sequence
	IsLast   bool
}

// EngineModel is a continuously batching engine without a clock, which admits in order and knows no priorities.
type EngineModel struct {
	timing  EngineTiming
	running []*Sequence
	waiting []*Sequence
	cache   *prefixCache

	PrefilledTokens int
	CachedTokens    int
}

// NewEngineModel returns an idle engine.
func NewEngineModel(t EngineTiming) *EngineModel {
	return &EngineModel{timing: t, cache: newPrefixCache(t.CacheBlocks)}
}

// Add admits s behind those that already wait; s.Done tokens of its answer count as part of the prompt.
func (m *EngineModel) Add(s *Sequence) {
	cached := m.cache.touch(m.blocksOf(s)) * m.timing.BlockTokens
	s.prefillLeft = max(1, s.PromptTokens+s.Done-cached)
	m.CachedTokens += s.PromptTokens + s.Done - s.prefillLeft
	m.PrefilledTokens += s.prefillLeft
	m.waiting = append(m.waiting, s)
}

// Pause takes the sequence out and leaves what it computed in the prefix cache, as long as that has room.
func (m *EngineModel) Pause(s *Sequence) {
	if s.prefillLeft == 0 {
		m.cache.touch(m.blocksOf(s))
	}
	m.Remove(s.ID)
}

// blocksOf returns the blocks of the prompt and of the tokens done.
func (m *EngineModel) blocksOf(s *Sequence) []uint64 {
	blocks := s.Blocks
	if s.Done > 0 {
		h := xxhash.Sum64String(s.ID)
		blocks = slices.Clip(blocks)
		for i := range s.Done / m.timing.BlockTokens {
			blocks = append(blocks, h+uint64(i))
		}
	}
	return blocks
}

// Remove drops the sequence with the id, whether it waits or runs.
func (m *EngineModel) Remove(id string) {
	m.running = without(m.running, id)
	m.waiting = without(m.waiting, id)
}

// Running returns how many sequences share the steps.
func (m *EngineModel) Running() int { return len(m.running) }

// Waiting returns how many sequences wait for admission.
func (m *EngineModel) Waiting() int { return len(m.waiting) }

// Step runs one step and returns how long it takes and the tokens it yields, or zero when the engine is idle.
func (m *EngineModel) Step() (time.Duration, []Emission) {
	for len(m.waiting) > 0 && len(m.running) < m.timing.MaxSequences {
		m.running = append(m.running, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	if len(m.running) == 0 {
		return 0, nil
	}
	took := m.timing.StepBase + time.Duration(len(m.running))*m.timing.StepPerSequence
	budget := m.timing.PrefillStepTokens
	out := make([]Emission, 0, len(m.running))
	keep := m.running[:0]
	for _, s := range m.running {
		if s.prefillLeft > 0 {
			n := min(budget, s.prefillLeft)
			budget -= n
			s.prefillLeft -= n
			took += time.Duration(n) * m.timing.PrefillPerToken
		}
		if s.prefillLeft > 0 {
			keep = append(keep, s)
			continue
		}
		s.Done++
		isLast := s.Done >= s.WantTokens
		out = append(out, Emission{Sequence: s, IsLast: isLast})
		if !isLast {
			keep = append(keep, s)
		}
	}
	m.running = keep
	return took, out
}

func without(list []*Sequence, id string) []*Sequence {
	keep := make([]*Sequence, 0, len(list))
	for _, s := range list {
		if s.ID != id {
			keep = append(keep, s)
		}
	}
	return keep
}
