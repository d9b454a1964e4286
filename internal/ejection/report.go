package ejection

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// Intervals and periods of the reports.
const (
	// fullReportInterval is the time between two full reports.
	fullReportInterval = 15 * time.Second
	// claimInterval is the longest time between two reports of a host that
	// ejects a backend or proposes to.
	claimInterval = 2 * time.Second
	// urgentRowPeriod is how long after its last bad outcome a backend is part
	// of every report, so that one lost report loses no outcome.
	urgentRowPeriod = time.Second
)

const (
	// DefaultReportBudget is the average number of bytes per second that a
	// host's reports may take. With 40 hosts, each of them receives 4 KB per
	// second.
	DefaultReportBudget mustardramp.Bytes = 100
	// burstBytes is the number of unused bytes that may accumulate.
	burstBytes = 1200
	// recordOverheadBytes is the size of a record without its payload.
	recordOverheadBytes = 48
)

// pacer is a token bucket in bytes that decides when this host may report.
type pacer struct {
	// lastFull and lastReport are the times of the last full report and of the
	// last report of any kind.
	lastFull   time.Time
	lastReport time.Time
	// availableBytes is the number of bytes that could be sent at refilledAt.
	availableBytes float64
	refilledAt     time.Time
}

// Due returns this host's report if one is due: right after a bad outcome or a
// decision, as far as the budget allows, and in full once per fullReportInterval.
// It is called after the steps of all services, several times per second.
func (e *Ejector) Due(now time.Time) (mustardramp.Record, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pacer.refill(now, e.reportBudget())
	full := now.Sub(e.pacer.lastFull) >= fullReportInterval
	if e.pacer.availableBytes <= 0 || !full && !e.isReportUrgent(now) {
		return mustardramp.Record{}, false, nil
	}
	record, err := e.buildRecord(now, full)
	if err != nil {
		return mustardramp.Record{}, false, err
	}
	e.pacer.spend(now, full, len(record.Payload)+recordOverheadBytes)
	for _, s := range e.services {
		s.reportedDigest = s.digest()
	}
	return record, true, nil
}

// Report returns this host's full report: its counts, ejections and proposals.
func (e *Ejector) Report(now time.Time) (mustardramp.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.buildRecord(now, true)
}

// buildRecord returns a full report, or an urgent one with only those backends
// that had a bad outcome within urgentRowPeriod.
func (e *Ejector) buildRecord(now time.Time, full bool) (mustardramp.Record, error) {
	report := evidence.Report{Place: e.Place}
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		part := e.services[name].report(now, full)
		if len(part.Rows)+len(part.Ejected)+len(part.Proposed) > 0 {
			report.Services = append(report.Services, part)
		}
	}
	e.sequence++
	version := mustardramp.Version{Epoch: uint64(e.Incarnation), Sequence: e.sequence}
	return report.Record(e.Host, version)
}

func (e *Ejector) reportBudget() mustardramp.Bytes {
	if e.ReportBudget == 0 {
		return DefaultReportBudget
	}
	return e.ReportBudget
}

// isReportUrgent reports whether a service has a new bad outcome, a changed claim
// or claims that are due for repetition.
func (e *Ejector) isReportUrgent(now time.Time) bool {
	repeat := now.Sub(e.pacer.lastReport) >= claimInterval
	for _, s := range e.services {
		d := s.digest()
		if d != s.reportedDigest || repeat && d.claims != 0 {
			return true
		}
	}
	return false
}

// refill adds the bytes that a budget per second allows since the last refill.
func (p *pacer) refill(now time.Time, budget mustardramp.Bytes) {
	if p.refilledAt.IsZero() {
		p.refilledAt = now
		p.availableBytes = burstBytes
	}
	added := now.Sub(p.refilledAt).Seconds() * float64(budget)
	p.availableBytes = min(p.availableBytes+added, burstBytes)
	p.refilledAt = now
}

func (p *pacer) spend(now time.Time, full bool, bytes int) {
	p.availableBytes -= float64(bytes)
	p.lastReport = now
	if full {
		p.lastFull = now
	}
}

// digest summarizes the urgent content of a report, so that a change of it can be
// detected.
type digest struct {
	bad    uint64
	claims uint64
}

// digest returns the number of this host's bad outcomes and the hash of its
// claims.
func (s *service) digest() digest {
	var d digest
	for _, m := range s.members {
		d.bad += m.totals.Failed + m.totals.Slow
		switch {
		case m.isEjectedFleetWide():
			d.claims += claimHash(m.handle, 1)
		case !m.proposedAt.IsZero():
			d.claims += claimHash(m.handle, 2+uint64(m.severity))
		}
	}
	return d
}

// claimHash returns a hash of a claim. The sum over all claims changes when one
// of them does.
func claimHash(h evidence.Handle, state uint64) uint64 {
	const prime = 0x9e3779b97f4a7c15
	return (uint64(h)<<2 | state) * prime
}
