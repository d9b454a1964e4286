package evidence

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// flightTick is the resolution of the age of an attempt in flight.
	flightTick = 100 * time.Millisecond
	// flightTicks is the number of ages that are kept.
	flightTicks = 32
	// flightLimit is the age in ticks above which attempts are no longer
	// followed.
	flightLimit = flightTicks - 2
	// rankBits is the width of the rank in a token.
	rankBits = 2
)

// flight counts the attempts of one rank at one backend that wait for the
// first byte, by the tick in which they started.
type flight struct {
	open [flightTicks]atomic.Int32
	// swept is the last tick whose attempts are no longer followed.
	swept atomic.Int64
}

func tickOf(at time.Time) int64 {
	return at.UnixNano() / int64(flightTick)
}

func (f *flight) start(tick int64) {
	f.open[tick%flightTicks].Add(1)
}

func (f *flight) answered(tick int64) {
	if tick > f.swept.Load() {
		f.open[tick%flightTicks].Add(-1)
	}
}

// sweep stops following the attempts that are older than limit ticks and
// returns their number.
func (f *flight) sweep(now, limit int64) uint64 {
	from := max(f.swept.Load(), now-flightTicks)
	to := now - limit
	if to <= from {
		return 0
	}
	f.swept.Store(to)
	var overdue int32
	for tick := from + 1; tick <= to; tick++ {
		overdue += max(0, f.open[tick%flightTicks].Swap(0))
	}
	return uint64(max(0, overdue))
}

// Start counts an attempt that is dispatched now and returns its token.
func (t *Tally) Start(name mustardramp.ServiceName, id mustardramp.BackendID, rank mustardramp.Rank, at time.Time) mustardramp.Token {
	s, c := t.find(name, id)
	if c == nil {
		return 0
	}
	if !s.watched.Load() {
		s.watched.Store(true)
	}
	rank %= mustardramp.RankCount
	tick := tickOf(at)
	c.flights[rank].start(tick)
	return mustardramp.Token(tick<<rankBits | int64(rank))
}

// Answered ends what Start began.
func (t *Tally) Answered(name mustardramp.ServiceName, id mustardramp.BackendID, token mustardramp.Token) {
	_, c := t.find(name, id)
	if c == nil || token == 0 {
		return
	}
	c.flights[token&(1<<rankBits-1)].answered(int64(token >> rankBits))
}

// sweep counts the attempts that wait for longer than a slow one takes.
func (s *service) sweep(now time.Time) {
	if !s.watched.Load() {
		return
	}
	tick := tickOf(now)
	for _, c := range *s.cells.Load() {
		for rank := range c.flights {
			limit := s.ranks[rank][c.distance].overdue()
			overdue := c.flights[rank].sweep(tick, min(limit, flightLimit))
			if limit > flightLimit || overdue == 0 {
				continue
			}
			counter := &c.stripe[0]
			counter.done.Add(overdue)
			counter.slow.Add(overdue)
		}
	}
}

// overdue returns the age in ticks at which an attempt in flight is slow.
func (l *latency) overdue() int64 {
	limit := l.limit.Load()
	if limit == 0 {
		return flightTicks
	}
	return min((limit-1)/int64(flightTick)+2, flightTicks)
}

// swept reports whether an attempt that took so long was counted as slow
// already while it was in flight.
func (l *latency) swept(took time.Duration) bool {
	limit := l.overdue()
	return limit <= flightLimit && int64(took) >= (limit-1)*int64(flightTick)
}
