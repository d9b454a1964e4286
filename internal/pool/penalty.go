package pool

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// penaltyTick is the resolution of the time of a penalty.
	penaltyTick = time.Millisecond
	// minPenalty is the number of slots below which a penalty is dropped.
	minPenalty = 0.05
)

// failurePenalty counts attempts that failed sooner than good answers arrive,
// as if each still used its slot for the mean latency. Without it a backend
// that fails at once would look idle and attract most of the work. Its zero
// value is no penalty.
type failurePenalty struct {
	// packed holds the bits of a float32, the number of slots, and the time of
	// that number in ticks modulo 2^32.
	packed atomic.Uint64
}

// at returns the number of slots at a time in Unix nanoseconds. It decays
// exponentially with the mean latency as the time constant.
func (p *failurePenalty) at(now int64, mean time.Duration) float64 {
	packed := p.packed.Load()
	if packed == 0 {
		return 0
	}
	return decayedPenalty(packed, now, mean)
}

func decayedPenalty(packed uint64, now int64, mean time.Duration) float64 {
	penalty := float64(math.Float32frombits(uint32(packed >> 32)))
	age := time.Duration(penaltyTicks(now)-uint32(packed)) * penaltyTick
	penalty *= math.Exp(-float64(age) / float64(max(mean, penaltyTick)))
	if penalty < minPenalty {
		return 0
	}
	return penalty
}

// add counts a fraction of a slot.
func (p *failurePenalty) add(slots float64, now int64, mean time.Duration) {
	for {
		old := p.packed.Load()
		penalty := slots
		if old != 0 {
			penalty += decayedPenalty(old, now, mean)
		}
		next := uint64(math.Float32bits(float32(penalty)))<<32 | uint64(penaltyTicks(now))
		if p.packed.CompareAndSwap(old, next) {
			return
		}
	}
}

func penaltyTicks(now int64) uint32 {
	return uint32(now / int64(penaltyTick))
}
