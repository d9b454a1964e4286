package pool

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// ghostTick is the resolution of the time of ghosts.
	ghostTick = time.Millisecond
	// leastGhosts is the number below which ghosts are forgotten.
	leastGhosts = 0.05
)

// ghosts count the attempts that failed sooner than good answers come, as if
// each still used its slot for the usual time. Without them a backend that
// fails at once would look idle and draw most of the work. The zero value holds
// none.
type ghosts struct {
	// packed holds the bits of a float32, the number, and the time at which it
	// held, in ticks modulo 2^32.
	packed atomic.Uint64
}

// at returns the number of ghosts at a time, which halves with each mean
// latency times ln 2.
func (g *ghosts) at(now int64, mean time.Duration) float64 {
	packed := g.packed.Load()
	if packed == 0 {
		return 0
	}
	return decay(packed, now, mean)
}

func decay(packed uint64, now int64, mean time.Duration) float64 {
	number := float64(math.Float32frombits(uint32(packed >> 32)))
	age := time.Duration(ticks(now)-uint32(packed)) * ghostTick
	number *= math.Exp(-float64(age) / float64(max(mean, ghostTick)))
	if number < leastGhosts {
		return 0
	}
	return number
}

// add counts a part of an attempt.
func (g *ghosts) add(part float64, now int64, mean time.Duration) {
	for {
		old := g.packed.Load()
		number := part
		if old != 0 {
			number += decay(old, now, mean)
		}
		next := uint64(math.Float32bits(float32(number)))<<32 | uint64(ticks(now))
		if g.packed.CompareAndSwap(old, next) {
			return
		}
	}
}

func ticks(now int64) uint32 {
	return uint32(now / int64(ghostTick))
}
