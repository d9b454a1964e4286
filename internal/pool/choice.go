package pool

import (
	"math/bits"
	"slices"

	"github.com/mustardramp/mustardramp"
)

// Strategy chooses among the backends of one distance.
type Strategy interface {
	// Choose returns the index of an option that has room, or -1.
	Choose(c *Choice) int
}

// Choice is one decision: the options and the demand. It is used by one
// goroutine.
type Choice struct {
	members []*member
	tried   []mustardramp.BackendID
	place   mustardramp.Place
	size    mustardramp.Bytes
	// limit bounds the members that are not passed over.
	limit limit
	at    int64
	roll  uint64
}

// Len returns the number of options.
func (c *Choice) Len() int {
	return len(c.members)
}

// Room reports whether option i may take the attempt.
func (c *Choice) Room(i int) bool {
	m := c.members[i]
	return m.room(c.at) && !slices.Contains(c.tried, m.backend.ID) && m.isSound(c.at, c.limit.risk) && c.Way(i) <= c.limit.way
}

// Fill returns the share of the limit of option i that one more attempt would
// use.
func (c *Choice) Fill(i int) float64 {
	return c.members[i].fill(c.at)
}

// Use returns the share of the limit of option i that is in use.
func (c *Choice) Use(i int) float64 {
	m := c.members[i]
	return m.busy(c.at) / float64(m.cap())
}

// Risk returns how likely an attempt at option i is to fail.
func (c *Choice) Risk(i int) float64 {
	return c.members[i].risk(c.at)
}

// Way returns the cost of the way to option i: that of the detour, and that of
// the bytes that the request carries there.
func (c *Choice) Way(i int) float64 {
	size := c.size
	if size < 0 {
		size = unknownSize
	}
	w := &ways[c.Distance(i)]
	return w.detour + w.bytes*float64(size)
}

// Distance returns how far option i is from where the request entered; unknown
// places are near.
func (c *Choice) Distance(i int) mustardramp.Distance {
	if c.place.Region == "" {
		return mustardramp.SameZone
	}
	return c.place.To(c.members[i].backend.Place)
}

// Intn returns the next random number below n, which is above 0.
func (c *Choice) Intn(n int) int {
	c.roll = mix(c.roll)
	hi, _ := bits.Mul64(c.roll, uint64(n))
	return int(hi)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// TwoChoices takes the less filled of two random backends with room. Its zero
// value works.
type TwoChoices struct{}

// Choose implements Strategy.
func (TwoChoices) Choose(c *Choice) int {
	n := c.Len()
	if n == 0 {
		return -1
	}
	first := next(c, c.Intn(n))
	if first < 0 || n == 1 {
		return first
	}
	second := next(c, c.Intn(n))
	if second >= 0 && c.Fill(second) < c.Fill(first) {
		return second
	}
	return first
}

// Random takes a random backend with room. Its zero value works.
type Random struct{}

// Choose implements Strategy.
func (Random) Choose(c *Choice) int {
	if c.Len() == 0 {
		return -1
	}
	return next(c, c.Intn(c.Len()))
}

// LeastFilled takes the least filled of all backends with room. Its zero value
// works.
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
		if c.Room(i) && (best < 0 || c.Fill(i) < c.Fill(best)) {
			best = i
		}
	}
	return best
}

// Soundest takes the backend with room where the attempt costs least: by the
// risk that it fails, by how full the backend is, and by the way there. It
// answers the load in which backends fall ill for seconds by turns while there
// is room at the well ones. Its zero value works.
type Soundest struct{}

const (
	// fullCost is the cost of the last slot of a backend beside that of a sure
	// failure: some backends slow down when they are nearly full.
	fullCost = 0.3
	// unknownSize stands in for the length of a body sent in chunks: half of the
	// mean upload of both sites.
	unknownSize mustardramp.Bytes = 30 << 10
)

// wayCost is the cost of a distance, in parts of the worth of a request.
type wayCost struct {
	// detour is the cost of the time, bytes that of each byte.
	detour, bytes float64
}

// ways holds the costs by distance. Bytes between zones and regions are paid by
// volume: on both sites an upload of 60 KB to another zone costs about what it
// is worth, and to another region five times as much.
var ways = [...]wayCost{
	mustardramp.SameZone:      {},
	mustardramp.SameRegion:    {detour: 0.03, bytes: 1.0 / (60 << 10)},
	mustardramp.AcrossRegions: {detour: 0.15, bytes: 5.0 / (60 << 10)},
}

// Choose implements Strategy.
func (Soundest) Choose(c *Choice) int {
	n := c.Len()
	if n == 0 {
		return -1
	}
	best, least := -1, 0.0
	start := c.Intn(n)
	for k := range n {
		i := (start + k) % n
		if !c.Room(i) {
			continue
		}
		use := c.Use(i)
		cost := c.Risk(i) + fullCost*use*use + c.Way(i)
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// next returns the first option with room from i on, around the end, or -1.
func next(c *Choice, i int) int {
	n := c.Len()
	for range n {
		if c.Room(i) {
			return i
		}
		i++
		if i == n {
			i = 0
		}
	}
	return -1
}
