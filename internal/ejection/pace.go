package ejection

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// quietInterval is the time between two reports while nothing bad happens.
const quietInterval = time.Second

// Due returns this host's report when it is time to pass one on: at once after
// a bad outcome or a decision, else once in quietInterval. It is called after
// the steps of all services, several times a second.
func (e *Ejector) Due(now time.Time) (mustardramp.Record, bool, error) {
	if !e.due(now) {
		return mustardramp.Record{}, false, nil
	}
	record, err := e.Report(now)
	return record, err == nil, err
}

func (e *Ejector) due(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	news := e.urgent()
	if !news && now.Sub(e.reported) < quietInterval {
		return false
	}
	e.reported = now
	return true
}

// urgent reports whether a service has news that cannot wait, and takes note
// of them.
func (e *Ejector) urgent() bool {
	var urgent bool
	for _, s := range e.services {
		sum := s.digest()
		urgent = urgent || sum != s.told
		s.told = sum
	}
	return urgent
}

// digest sums up what of a report cannot wait.
type digest struct {
	bad    uint64
	claims uint64
}

// digest returns the sum of this host's bad outcomes and of its claims.
func (s *service) digest() digest {
	var d digest
	for _, m := range s.members {
		d.bad += m.totals.Failed + m.totals.Slow
		switch {
		case m.everywhere():
			d.claims += claimed(m.handle, 1)
		case !m.wished.IsZero():
			d.claims += claimed(m.handle, 2+uint64(m.grade))
		}
	}
	return d
}

// claimed mixes a claim into a number. The sum over all claims changes when one
// of them does.
func claimed(h evidence.Handle, state uint64) uint64 {
	const prime = 0x9e3779b97f4a7c15
	return (uint64(h)<<2 | state) * prime
}
