package evidence

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// inFlightTick is the resolution of the age of an attempt in flight.
	inFlightTick = 100 * time.Millisecond
	// inFlightTicks is the number of ticks for which attempts are counted.
	inFlightTicks = 32
	// inFlightLimit is the age in ticks from which attempts are no longer
	// tracked.
	inFlightLimit = inFlightTicks - 2
	// rankBits is the width of the rank in a token, in bits.
	rankBits = 2
)

// inFlightCounter counts the attempts of one rank at one backend that wait for the
// first byte, by the tick in which they started.
type inFlightCounter struct {
	waiting [inFlightTicks]atomic.Int32
	// sweptTick is the last tick whose attempts are no longer tracked.
	sweptTick atomic.Int64
}

// tickOf returns the number of the tick, since the Unix epoch, in which a time falls.
func tickOf(at time.Time) int64 {
	return at.UnixNano() / int64(inFlightTick)
}

func (f *inFlightCounter) start(tick int64) {
	f.waiting[tick%inFlightTicks].Add(1)
}

func (f *inFlightCounter) answered(tick int64) {
	if tick > f.sweptTick.Load() {
		f.waiting[tick%inFlightTicks].Add(-1)
	}
}

// sweep stops tracking the attempts that are at least limit ticks old and returns
// their number.
func (f *inFlightCounter) sweep(now, limit int64) uint64 {
	from := max(f.sweptTick.Load(), now-inFlightTicks)
	to := now - limit
	if to <= from {
		return 0
	}
	f.sweptTick.Store(to)
	var overdueCount int32
	for tick := from + 1; tick <= to; tick++ {
		overdueCount += max(0, f.waiting[tick%inFlightTicks].Swap(0))
	}
	return uint64(max(0, overdueCount))
}

// Start counts an attempt that is being dispatched and returns its token.
func (t *Tally) Start(name mustardramp.ServiceName, id mustardramp.BackendID, rank mustardramp.Rank, at time.Time) mustardramp.Token {
	s, c := t.find(name, id)
	if c == nil {
		return 0
	}
	if !s.tracksInFlight.Load() {
		s.tracksInFlight.Store(true)
	}
	rank %= mustardramp.RankCount
	tick := tickOf(at)
	c.inFlight[rank].start(tick)
	return mustardramp.Token(tick<<rankBits | int64(rank))
}

// Answered ends the count of an attempt that Start counted as in flight.
func (t *Tally) Answered(name mustardramp.ServiceName, id mustardramp.BackendID, token mustardramp.Token) {
	_, c := t.find(name, id)
	if c == nil || token == 0 {
		return
	}
	c.inFlight[token&(1<<rankBits-1)].answered(int64(token >> rankBits))
}

// sweep counts the attempts that have waited long enough to be slow.
func (s *service) sweep(now time.Time) {
	if !s.tracksInFlight.Load() {
		return
	}
	tick := tickOf(now)
	for _, c := range *s.backends.Load() {
		for rank := range c.inFlight {
			limit := s.latenciesByRank[rank][c.distance].overdueTicks()
			overdueCount := c.inFlight[rank].sweep(tick, min(limit, inFlightLimit))
			if limit > inFlightLimit || overdueCount == 0 {
				continue
			}
			counter := &c.stripes[0]
			counter.done.Add(overdueCount)
			counter.slow.Add(overdueCount)
		}
	}
}

// overdueTicks returns the age in ticks at which an attempt in flight is slow.
func (l *latencyHistogram) overdueTicks() int64 {
	limit := l.limit.Load()
	if limit == 0 {
		return inFlightTicks
	}
	return min((limit-1)/int64(inFlightTick)+2, inFlightTicks)
}

// wasCountedInFlight reports whether an attempt that took the given time was
// already counted as slow while it was in flight.
func (l *latencyHistogram) wasCountedInFlight(took time.Duration) bool {
	limit := l.overdueTicks()
	return limit <= inFlightLimit && int64(took) >= (limit-1)*int64(inFlightTick)
}
