package pool

import (
	"math/bits"
	"slices"

	"github.com/mustardramp/mustardramp"
)

// Strategy chooses among the backends of one tier.
type Strategy interface {
	// Choose returns the index of an eligible option, or -1.
	Choose(c *Choice) int
}

// Choice holds the options of one decision and the demand that they are for. It
// is not safe for concurrent use.
type Choice struct {
	members []*member
	tried   []mustardramp.BackendID
	place   mustardramp.Place
	size    mustardramp.Bytes
	// limits bounds the members that are eligible.
	limits costLimits
	// at is the time of the decision in Unix nanoseconds.
	at     int64
	random uint64
}

// Len returns the number of options.
func (c *Choice) Len() int {
	return len(c.members)
}

// IsEligible reports whether option i may take the attempt: it has room, the
// demand has not tried it, and it is within the limits.
func (c *Choice) IsEligible(i int) bool {
	m := c.members[i]
	return m.hasRoom(c.at) && !slices.Contains(c.tried, m.backend.ID) && m.isRiskBelow(c.at, c.limits.risk) && c.NetworkCost(i) <= c.limits.network
}

// FillRatio returns the share of the limit of option i that one more attempt
// would use.
func (c *Choice) FillRatio(i int) float64 {
	return c.members[i].fillRatio(c.at)
}

// Utilization returns the share of the limit of option i that is in use.
func (c *Choice) Utilization(i int) float64 {
	m := c.members[i]
	return m.usedSlots(c.at) / float64(m.maxInFlight())
}

// Risk returns the probability that an attempt at option i fails.
func (c *Choice) Risk(i int) float64 {
	return c.members[i].risk(c.at)
}

// NetworkCost returns the cost of sending the request to option i: a fixed cost
// of the distance plus that of the body.
func (c *Choice) NetworkCost(i int) float64 {
	size := c.size
	if size < 0 {
		size = assumedBodySize
	}
	cost := &distanceCosts[c.Distance(i)]
	return cost.fixed + cost.perByte*float64(size)
}

// Distance returns the distance between option i and the place where the
// request entered the fleet. An unknown place counts as near.
func (c *Choice) Distance(i int) mustardramp.Distance {
	if c.place.Region == "" {
		return mustardramp.SameZone
	}
	return c.place.To(c.members[i].backend.Place)
}

// Intn returns the next random number in [0, n). It requires that n is above 0.
func (c *Choice) Intn(n int) int {
	c.random = mix(c.random)
	hi, _ := bits.Mul64(c.random, uint64(n))
	return int(hi)
}

// mix returns the splitmix64 finalizer of x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// TwoChoices takes the less filled of two random eligible backends. Its zero
// value is ready to use.
type TwoChoices struct{}

// Choose implements Strategy.
func (TwoChoices) Choose(c *Choice) int {
	n := c.Len()
	if n == 0 {
		return -1
	}
	first := nextEligible(c, c.Intn(n))
	if first < 0 || n == 1 {
		return first
	}
	second := nextEligible(c, c.Intn(n))
	if second >= 0 && c.FillRatio(second) < c.FillRatio(first) {
		return second
	}
	return first
}

// Random takes a random eligible backend. Its zero value is ready to use.
type Random struct{}

// Choose implements Strategy.
func (Random) Choose(c *Choice) int {
	if c.Len() == 0 {
		return -1
	}
	return nextEligible(c, c.Intn(c.Len()))
}

// LeastFilled takes the least filled of all eligible backends. Its zero value
// is ready to use.
type LeastFilled struct{}

// Choose implements Strategy.
func (LeastFilled) Choose(c *Choice) int {
	best := -1
	n := c.Len()
	if n == 0 {
		return best
	}
	start := c.Intn(n)
	for k := range n {
		i := (start + k) % n
		if c.IsEligible(i) && (best < 0 || c.FillRatio(i) < c.FillRatio(best)) {
			best = i
		}
	}
	return best
}

// LowestCost takes the eligible backend with the lowest cost, which sums the risk
// of failure, the utilization and the network cost. It suits loads in which
// backends become unhealthy for seconds at a time while healthy ones have room.
// Its zero value is ready to use.
type LowestCost struct{}

const (
	// fullBackendCost is the cost of the last slot of a backend relative to that
	// of a certain failure. Some backends slow down when nearly full.
	fullBackendCost = 0.3
	// healthyRisk is the risk up to which backends count as equally healthy. The risk
	// of a healthy backend grows from 0.002 to this value in 2 s without an attempt.
	// Such differences show which backend was used last, not which one is healthy,
	// and a choice by them concentrates the work on the backends in use.
	healthyRisk = 0.1
	// assumedBodySize stands in for the length of a body sent in chunks. It is
	// half of the mean upload.
	assumedBodySize mustardramp.Bytes = 30 << 10
)

// distanceCost is the network cost of a distance, as a fraction of the value of
// a request.
type distanceCost struct {
	// fixed is the cost of the added latency, perByte that of each byte.
	fixed, perByte float64
}

// distanceCosts holds the costs by distance. Traffic between zones and regions
// is paid by volume: an upload of 60 KiB costs about as much as the value of
// its request to another zone, and five times as much to another region.
var distanceCosts = [...]distanceCost{
	mustardramp.SameZone:      {},
	mustardramp.SameRegion:    {fixed: 0.03, perByte: 1.0 / (60 << 10)},
	mustardramp.AcrossRegions: {fixed: 0.15, perByte: 5.0 / (60 << 10)},
}

// Choose implements Strategy.
func (LowestCost) Choose(c *Choice) int {
	n := c.Len()
	if n == 0 {
		return -1
	}
	best, least := -1, 0.0
	start := c.Intn(n)
	for k := range n {
		i := (start + k) % n
		if !c.IsEligible(i) {
			continue
		}
		utilization := c.Utilization(i)
		cost := max(healthyRisk, c.Risk(i)) + fullBackendCost*utilization*utilization + c.NetworkCost(i)
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// nextEligible returns the first eligible option from i on, wrapping around the
// end, or -1.
func nextEligible(c *Choice, i int) int {
	n := c.Len()
	for range n {
		if c.IsEligible(i) {
			return i
		}
		i++
		if i == n {
			i = 0
		}
	}
	return -1
}
