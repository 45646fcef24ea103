package bencher

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

const (
	// firstTokenTarget and tokenGapTarget are the users' targets for the 95th percentile.
	firstTokenTarget = 610 * time.Millisecond
	tokenGapTarget   = 68 * time.Millisecond

	engineSlots = 48
)

// engineTiming returns the timing of the simulated engine.
func engineTiming() emulator.EngineTiming {
	return emulator.EngineTiming{
		StepBase: 8 * time.Millisecond, StepPerSequence: time.Millisecond, PrefillPerToken: 20 * time.Microsecond,
		PrefillStepTokens: 512, MaxSequences: 64, CacheBlocks: 4096, BlockTokens: 16,
	}
}

// basePolicy returns the settings that all policies share.
func basePolicy() allocator.Policy {
	return allocator.Policy{
		Slots: engineSlots, FirstTokenTarget: firstTokenTarget, TokenGapTarget: tokenGapTarget, QueueLimit: 256,
	}
}

// tailFirst returns the policy that favours the tail latency of online requests.
func tailFirst() allocator.Policy {
	p := basePolicy()
	p.ReservedShare, p.LatencyHeadroom, p.YieldFactor = 0.05, 0.85, 3
	return p
}

// throughputFirst returns the policy that favours batch throughput.
func throughputFirst() allocator.Policy {
	p := basePolicy()
	p.ReservedShare, p.LatencyHeadroom, p.YieldFactor, p.YieldFrom = 0.02, 1, 8, 0.6
	return p
}

// policyCase is a policy and its name in the report.
type policyCase struct {
	name   string
	kind   policyKind
	policy allocator.Policy
}

// policyCases returns the daemon's own policy, once for tail latency and once for throughput, and the baselines.
func policyCases() []policyCase {
	return []policyCase{
		{"tailFirst", ownPolicy, tailFirst()},
		{"throughputFirst", ownPolicy, throughputFirst()},
		{"fifo", fifoPolicy, tailFirst()},
		{"split", splitPolicy, tailFirst()},
	}
}
