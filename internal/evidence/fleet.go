package evidence

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// Silence is how long after its last report a host's claims still count.
	Silence = 6 * time.Second
	// maxGap is the longest time between two reports of a host whose
	// difference is evidence of the present. The host counts as one of the
	// fleet for as long.
	maxGap = 40 * time.Second
	// forgetHost is how long after its last report a host is forgotten.
	forgetHost = time.Minute
)

// Fleet merges the reports of other hosts. Its zero value works. It is not
// safe for concurrent use.
type Fleet struct {
	sources map[mustardramp.HostName]*source
	// news holds the counts that arrived since they were last taken.
	news map[mustardramp.ServiceName]map[Origin]Counts
}

// Origin says which zone's hosts counted what at which backend.
type Origin struct {
	Zone    mustardramp.Zone
	Backend Handle
}

// source is one other host.
type source struct {
	version mustardramp.Version
	heard   time.Time
	totals  map[total]Counts
	words   map[mustardramp.ServiceName]words
}

// words is what a host says of its decisions on a service.
type words struct {
	ejected []Claim
	wished  []Claim
	// ended holds when the host ended its latest ejections.
	ended map[Handle]time.Time
}

type total struct {
	service mustardramp.ServiceName
	backend Handle
}

// Merge takes in a record of another host. Older ones are ignored.
func (f *Fleet) Merge(now time.Time, record mustardramp.Record) error {
	report, err := ParseReport(record)
	if err != nil {
		return err
	}
	f.init()
	host := mustardramp.HostName(record.Key)
	from := f.sources[host]
	if from == nil {
		from = &source{totals: map[total]Counts{}, words: map[mustardramp.ServiceName]words{}}
		f.sources[host] = from
	} else if !record.Version.After(from.version) {
		return nil
	}
	fresh := from.version.Epoch == record.Version.Epoch && now.Sub(from.heard) <= maxGap
	if !fresh {
		clear(from.totals)
	}
	from.version = record.Version
	from.heard = now
	spoken := make(map[mustardramp.ServiceName]words, len(report.Services))
	for _, s := range report.Services {
		f.rows(from, report.Place.Zone, s, fresh)
		spoken[s.Service] = from.words[s.Service].after(now, s)
	}
	from.words = spoken
	return nil
}

// rows adds the growth of a host's totals to the news. Without an earlier
// total there is nothing to compare with.
func (f *Fleet) rows(from *source, zone mustardramp.Zone, s ServiceReport, fresh bool) {
	news := f.news[s.Service]
	if news == nil {
		news = map[Origin]Counts{}
		f.news[s.Service] = news
	}
	for _, row := range s.Rows {
		key := total{service: s.Service, backend: row.Backend}
		old, known := from.totals[key]
		from.totals[key] = row.Counts
		growth, ok := row.Counts.Minus(old)
		if !fresh || !known || !ok {
			continue
		}
		origin := Origin{Zone: zone, Backend: row.Backend}
		news[origin] = news[origin].Plus(growth)
	}
}

// Take returns the news on a service and forgets it.
func (f *Fleet) Take(service mustardramp.ServiceName) map[Origin]Counts {
	news := f.news[service]
	delete(f.news, service)
	return news
}

// Voices collects what the hosts that were heard of late say of a service. A
// claim counts for the given span after it was last heard, since another host
// may have followed it meanwhile.
func (f *Fleet) Voices(now time.Time, service mustardramp.ServiceName, linger time.Duration) Voices {
	v := Voices{Ejected: map[Handle]Voice{}, Wished: map[Handle]Grade{}}
	for host, from := range f.sources {
		silent := now.Sub(from.heard)
		if silent > forgetHost {
			delete(f.sources, host)
		}
		if silent <= maxGap {
			v.Hosts++
		}
		said, ok := from.words[service]
		if !ok || silent > Silence {
			continue
		}
		v.hear(now, said, linger)
	}
	return v
}

// Voices is what the other hosts say of a service's backends.
type Voices struct {
	// Hosts is the number of other hosts that were heard of late.
	Hosts   int
	Ejected map[Handle]Voice
	Wished  map[Handle]Grade
}

// Voice is what the other hosts say of one backend that some of them eject.
type Voice struct {
	// Hosts is the number of hosts that eject the backend now. It is 0 when
	// they ended the ejection a short while ago.
	Hosts int
	Grade Grade
}

func (v *Voices) hear(now time.Time, said words, linger time.Duration) {
	for _, c := range said.ejected {
		voice := v.Ejected[c.Backend]
		voice.Hosts++
		voice.Grade = max(voice.Grade, c.Grade)
		v.Ejected[c.Backend] = voice
	}
	for h, at := range said.ended {
		if voice := v.Ejected[h]; now.Sub(at) <= linger {
			v.Ejected[h] = voice
		}
	}
	for _, c := range said.wished {
		v.Wished[c.Backend] = max(v.Wished[c.Backend], c.Grade)
	}
}

// after returns what a host says in its next report, with the ends of the
// ejections that it no longer names.
func (w words) after(now time.Time, report ServiceReport) words {
	next := words{ejected: report.Ejected, wished: report.Wished}
	for h, at := range w.ended {
		if now.Sub(at) <= maxGap {
			next.end(h, at)
		}
	}
	for _, c := range w.ejected {
		if !slices.ContainsFunc(report.Ejected, func(d Claim) bool { return c.Backend == d.Backend }) {
			next.end(c.Backend, now)
		}
	}
	return next
}

func (w *words) end(h Handle, at time.Time) {
	if w.ended == nil {
		w.ended = map[Handle]time.Time{}
	}
	w.ended[h] = at
}

func (f *Fleet) init() {
	if f.sources == nil {
		f.sources = map[mustardramp.HostName]*source{}
	}
	if f.news == nil {
		f.news = map[mustardramp.ServiceName]map[Origin]Counts{}
	}
}
