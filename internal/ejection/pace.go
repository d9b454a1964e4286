package ejection

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// Spans of time of the reports.
const (
	// quietInterval is the time between two full reports.
	quietInterval = 15 * time.Second
	// claimInterval is the time between two reports of a host that ejects a
	// backend or wishes to.
	claimInterval = 2 * time.Second
	// newsSpan is how long after its last bad outcome a backend stands in the
	// reports, so that a lost one loses nothing.
	newsSpan = time.Second
)

const (
	// DefaultBudget is the number of bytes a second that a host's reports may
	// take on average: with 40 hosts, 4 KB a second reach each of them.
	DefaultBudget mustardramp.Bytes = 100
	// burst is the number of bytes that may be saved up.
	burst = 1200
	// envelope is the size of a record without its payload.
	envelope = 48
)

// pace decides when this host reports.
type pace struct {
	// full and spoke are the times of the last full report and of the last
	// report.
	full  time.Time
	spoke time.Time
	// saved is the number of bytes that may be sent now, as of counted.
	saved   float64
	counted time.Time
}

// Due returns this host's report when it is time to pass one on: at once after
// a bad outcome or a decision, as far as the budget allows, and in full once in
// quietInterval. It is called after the steps of all services, several times a
// second.
func (e *Ejector) Due(now time.Time) (mustardramp.Record, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace.earn(now, e.budget())
	full := now.Sub(e.pace.full) >= quietInterval
	if e.pace.saved <= 0 || !full && !e.news(now) {
		return mustardramp.Record{}, false, nil
	}
	record, err := e.record(now, full)
	if err != nil {
		return mustardramp.Record{}, false, err
	}
	e.pace.spend(now, full, len(record.Payload)+envelope)
	for _, s := range e.services {
		s.told = s.digest()
	}
	return record, true, nil
}

// Report returns this host's evidence and decisions in full.
func (e *Ejector) Report(now time.Time) (mustardramp.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record(now, true)
}

// record returns a report: in full, or with the backends that had a bad outcome
// of late.
func (e *Ejector) record(now time.Time, full bool) (mustardramp.Record, error) {
	report := evidence.Report{Place: e.Place}
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		part := e.services[name].report(now, full)
		if len(part.Rows)+len(part.Ejected)+len(part.Wished) > 0 {
			report.Services = append(report.Services, part)
		}
	}
	e.sequence++
	version := mustardramp.Version{Epoch: uint64(e.Incarnation), Sequence: e.sequence}
	return report.Record(e.Host, version)
}

func (e *Ejector) budget() mustardramp.Bytes {
	if e.Budget == 0 {
		return DefaultBudget
	}
	return e.Budget
}

// news reports whether a service has news that cannot wait, or claims to
// repeat.
func (e *Ejector) news(now time.Time) bool {
	repeat := now.Sub(e.pace.spoke) >= claimInterval
	for _, s := range e.services {
		d := s.digest()
		if d != s.told || repeat && d.claims != 0 {
			return true
		}
	}
	return false
}

func (p *pace) earn(now time.Time, budget mustardramp.Bytes) {
	if p.counted.IsZero() {
		p.counted = now
		p.saved = burst
	}
	earned := now.Sub(p.counted).Seconds() * float64(budget)
	p.saved = min(p.saved+earned, burst)
	p.counted = now
}

func (p *pace) spend(now time.Time, full bool, bytes int) {
	p.saved -= float64(bytes)
	p.spoke = now
	if full {
		p.full = now
	}
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
