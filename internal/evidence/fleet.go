package evidence

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// ClaimExpiry is how long after its last report a host's claims still
	// count.
	ClaimExpiry = 6 * time.Second
	// maxReportGap is the longest time between two reports of a host whose
	// difference counts as current outcomes. For this time after its last
	// report the host also counts as a member of the fleet.
	maxReportGap = 40 * time.Second
	// hostExpiry is how long after its last report a host is removed.
	hostExpiry = time.Minute
)

// Fleet merges the reports of other hosts. Its zero value is ready to use. It is
// not safe for concurrent use.
type Fleet struct {
	hosts map[mustardramp.HostName]*remoteHost
	// received holds the counts that arrived since the last call of TakeCounts.
	received map[mustardramp.ServiceName]map[Origin]Counts
}

// Origin identifies counts by the zone of the hosts that counted and by the
// backend.
type Origin struct {
	Zone    mustardramp.Zone
	Backend Handle
}

// remoteHost holds the totals and claims that another host reported last.
type remoteHost struct {
	version    mustardramp.Version
	reportedAt time.Time
	totals     map[totalKey]Counts
	claims     map[mustardramp.ServiceName]hostClaims
}

// hostClaims holds the claims of a host on the backends of a service.
type hostClaims struct {
	ejected  []Claim
	proposed []Claim
	// ended holds the times at which the host ended its latest ejections.
	ended map[Handle]time.Time
}

// totalKey identifies the totals of one backend in the reports of a host.
type totalKey struct {
	service mustardramp.ServiceName
	backend Handle
}

// Merge adds a record of another host. A record that is not newer than the last
// one of its host is ignored.
func (f *Fleet) Merge(now time.Time, record mustardramp.Record) error {
	report, err := ParseReport(record)
	if err != nil {
		return err
	}
	f.init()
	host := mustardramp.HostName(record.Key)
	from := f.hosts[host]
	if from == nil {
		from = &remoteHost{totals: map[totalKey]Counts{}, claims: map[mustardramp.ServiceName]hostClaims{}}
		f.hosts[host] = from
	} else if !record.Version.After(from.version) {
		return nil
	}
	isContinuous := from.version.Epoch == record.Version.Epoch && now.Sub(from.reportedAt) <= maxReportGap
	if !isContinuous {
		clear(from.totals)
	}
	from.version = record.Version
	from.reportedAt = now
	nextClaims := make(map[mustardramp.ServiceName]hostClaims, len(report.Services))
	for _, s := range report.Services {
		f.addGrowth(from, report.Place.Zone, s, isContinuous)
		nextClaims[s.Service] = from.claims[s.Service].next(now, s)
	}
	from.claims = nextClaims
	return nil
}

// addGrowth adds the growth of a host's totals to the received counts. The growth
// is known only if isContinuous and if an earlier report held the total.
func (f *Fleet) addGrowth(from *remoteHost, zone mustardramp.Zone, s ServiceReport, isContinuous bool) {
	received := f.received[s.Service]
	if received == nil {
		received = map[Origin]Counts{}
		f.received[s.Service] = received
	}
	for _, row := range s.Rows {
		key := totalKey{service: s.Service, backend: row.Backend}
		old, known := from.totals[key]
		from.totals[key] = row.Counts
		growth, ok := row.Counts.Minus(old)
		if !isContinuous || !known || !ok {
			continue
		}
		origin := Origin{Zone: zone, Backend: row.Backend}
		received[origin] = received[origin].Plus(growth)
	}
}

// TakeCounts removes and returns the received counts of a service.
func (f *Fleet) TakeCounts(service mustardramp.ServiceName) map[Origin]Counts {
	received := f.received[service]
	delete(f.received, service)
	return received
}

// Claims collects the claims of the other hosts on the backends of a service. An
// ejection that its host ended counts for the time retention from then on, since
// another host may have adopted it in the meantime.
func (f *Fleet) Claims(now time.Time, service mustardramp.ServiceName, retention time.Duration) FleetClaims {
	fc := FleetClaims{Ejected: map[Handle]FleetEjection{}, Proposed: map[Handle]Severity{}}
	for host, from := range f.hosts {
		silence := now.Sub(from.reportedAt)
		if silence > hostExpiry {
			delete(f.hosts, host)
		}
		if silence <= maxReportGap {
			fc.Hosts++
		}
		claims, ok := from.claims[service]
		if !ok || silence > ClaimExpiry {
			continue
		}
		fc.add(now, claims, retention)
	}
	return fc
}

// FleetClaims holds the claims of the other hosts on a service's backends.
type FleetClaims struct {
	// Hosts is the number of other hosts whose last report is not older than
	// maxReportGap.
	Hosts    int
	Ejected  map[Handle]FleetEjection
	Proposed map[Handle]Severity
}

// FleetEjection summarizes the claims of the other hosts on a backend that some of
// them eject.
type FleetEjection struct {
	// Hosts is the number of hosts that currently eject the backend. It is 0 if
	// all of them ended the ejection recently.
	Hosts    int
	Severity Severity
}

func (fc *FleetClaims) add(now time.Time, claims hostClaims, retention time.Duration) {
	for _, c := range claims.ejected {
		ejection := fc.Ejected[c.Backend]
		ejection.Hosts++
		ejection.Severity = max(ejection.Severity, c.Severity)
		fc.Ejected[c.Backend] = ejection
	}
	for h, at := range claims.ended {
		if ejection := fc.Ejected[h]; now.Sub(at) <= retention {
			fc.Ejected[h] = ejection
		}
	}
	for _, c := range claims.proposed {
		fc.Proposed[c.Backend] = max(fc.Proposed[c.Backend], c.Severity)
	}
}

// next returns the claims according to a host's next report, with the ends of the
// ejections that the report no longer names.
func (hc hostClaims) next(now time.Time, report ServiceReport) hostClaims {
	next := hostClaims{ejected: report.Ejected, proposed: report.Proposed}
	for h, at := range hc.ended {
		if now.Sub(at) <= maxReportGap {
			next.markEnded(h, at)
		}
	}
	for _, c := range hc.ejected {
		if !slices.ContainsFunc(report.Ejected, func(d Claim) bool { return c.Backend == d.Backend }) {
			next.markEnded(c.Backend, now)
		}
	}
	return next
}

func (hc *hostClaims) markEnded(h Handle, at time.Time) {
	if hc.ended == nil {
		hc.ended = map[Handle]time.Time{}
	}
	hc.ended[h] = at
}

func (f *Fleet) init() {
	if f.hosts == nil {
		f.hosts = map[mustardramp.HostName]*remoteHost{}
	}
	if f.received == nil {
		f.received = map[mustardramp.ServiceName]map[Origin]Counts{}
	}
}
