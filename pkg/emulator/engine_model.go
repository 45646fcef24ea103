package emulator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineTiming sets how long the steps of an engine take, how many sequences run at once and how large the cache is.
//
// A step takes StepBase, StepPerSequence for each running sequence and PrefillPerToken for each prompt token that it
// prefills, at most PrefillStepTokens of them. A block holds BlockTokens tokens.
type EngineTiming struct {
	StepBase          time.Duration
	StepPerSequence   time.Duration
	PrefillPerToken   time.Duration
	PrefillStepTokens int
	MaxSequences      int
	CacheBlocks       int
	BlockTokens       int
}

// DefaultEngineTiming returns the timing of a small engine that runs 16 sequences at about 24 ms a token.
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

// Sequence is one answer being generated: WantTokens is its length, GeneratedTokens how many of them exist.
type Sequence struct {
	ID              string
	Blocks          []uint64
	PromptTokens    int
	WantTokens      int
	GeneratedTokens int

	// prefillLeft is the number of prompt tokens still to be prefilled.
	prefillLeft int
}

// Emission reports one more token of a sequence; IsLast marks the last one.
type Emission struct {
	Sequence *Sequence
	IsLast   bool
}

// EngineModel is an engine with continuous batching, without a clock. It admits sequences in order, without priorities.
type EngineModel struct {
	timing  EngineTiming
	running []*Sequence
	waiting []*Sequence
	cache   *prefixCache

	// PrefilledTokens and CachedTokens count the tokens prefilled and the tokens found in the prefix cache.
	PrefilledTokens int
	CachedTokens    int
}

// NewEngineModel returns an idle engine.
func NewEngineModel(t EngineTiming) *EngineModel {
	return &EngineModel{timing: t, cache: newPrefixCache(t.CacheBlocks)}
}

// Add queues s for admission. Its s.GeneratedTokens tokens are prefilled as part of the prompt.
func (m *EngineModel) Add(s *Sequence) {
	cached := m.cache.touch(m.blocksOf(s)) * m.timing.BlockTokens
	s.prefillLeft = max(1, s.PromptTokens+s.GeneratedTokens-cached)
	m.CachedTokens += s.PromptTokens + s.GeneratedTokens - s.prefillLeft
	m.PrefilledTokens += s.prefillLeft
	m.waiting = append(m.waiting, s)
}

// Pause removes the sequence. If its prefill was complete, its blocks go to the prefix cache, until newer ones evict them.
func (m *EngineModel) Pause(s *Sequence) {
	if s.prefillLeft == 0 {
		m.cache.touch(m.blocksOf(s))
	}
	m.Remove(s.ID)
}

// blocksOf returns the blocks of the prompt and of the tokens generated.
func (m *EngineModel) blocksOf(s *Sequence) []uint64 {
	blocks := s.Blocks
	if s.GeneratedTokens > 0 {
		h := xxhash.Sum64String(s.ID)
		blocks = slices.Clip(blocks)
		for i := range s.GeneratedTokens / m.timing.BlockTokens {
			blocks = append(blocks, h+uint64(i))
		}
	}
	return blocks
}

// Remove removes the sequence with the id, whether it waits or runs.
func (m *EngineModel) Remove(id string) {
	m.running = without(m.running, id)
	m.waiting = without(m.waiting, id)
}

// Running returns the number of running sequences.
func (m *EngineModel) Running() int { return len(m.running) }

// Waiting returns the number of sequences that wait for admission.
func (m *EngineModel) Waiting() int { return len(m.waiting) }

// Step runs one step and returns its duration and the tokens it generates, or zero if the engine is idle.
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
		s.GeneratedTokens++
		isLast := s.GeneratedTokens >= s.WantTokens
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
