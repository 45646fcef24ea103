package bencher

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

const (
	// firstTokenTarget and tokenGapTarget are promised for 95 in 100 (letter 1).
	firstTokenTarget = 610 * time.Millisecond
	tokenGapTarget   = 68 * time.Millisecond

	engineSlots = 48
)

func engineTiming() emulator.EngineTiming {
	return emulator.EngineTiming{
		StepBase: 8 * time.Millisecond, StepPerSequence: time.Millisecond, PrefillPerToken: 20 * time.Microsecond,
		PrefillStepTokens: 512, MaxSequences: 64, CacheBlocks: 4096, BlockTokens: 16,
	}
}

func basePolicy() keeper.Policy {
	return keeper.Policy{
		Slots: engineSlots, FirstTokenTarget: firstTokenTarget, TokenGapTarget: tokenGapTarget, QueueLimit: 256,
	}
}

// tailFirst weighs online tail latency more, as Gravrundan does.
func tailFirst() keeper.Policy {
	p := basePolicy()
	p.ReservedShare, p.LatencyHeadroom, p.YieldFactor = 0.05, 0.85, 3
	return p
}

// throughputFirst weighs batch throughput more, as Vápenka does.
func throughputFirst() keeper.Policy {
	p := basePolicy()
	p.ReservedShare, p.LatencyHeadroom, p.YieldFactor, p.YieldFrom = 0.02, 1, 8, 0.6
	return p
}

// policyCase is one policy under a name of the report.
type policyCase struct {
	name   string
	kind   policyKind
	policy keeper.Policy
}

// policyCases are the system's own policies under both users' weights, and the baselines beside them.
func policyCases() []policyCase {
	return []policyCase{
		{"tailFirst", ownPolicy, tailFirst()},
		{"throughputFirst", ownPolicy, throughputFirst()},
		{"fifo", fifoPolicy, tailFirst()},
		{"split", splitPolicy, tailFirst()},
	}
}
