package tally

import (
	"cmp"
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/mustardramp/mustardramp"
)

// Reading is a snapshot of the measurements of one class. Times are in nanoseconds.
type Reading struct {
	Service mustardramp.ServiceName `json:"service"`
	Rank    mustardramp.Rank        `json:"rank"`
	Caller  mustardramp.CallerName  `json:"caller"`
	// Count is the number of requests, including refused ones.
	Count   int64         `json:"count"`
	Latency Summary       `json:"latency"`
	Wait    Summary       `json:"wait"`
	Size    Summary       `json:"size"`
	Refused []RefusedKind `json:"refused,omitempty"`
}

// Summary holds the mean, percentiles and maximum of a histogram.
type Summary struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	Max  int64   `json:"max"`
}

// RefusedKind counts the refusals of one kind.
type RefusedKind struct {
	Kind  mustardramp.RefusalKind `json:"kind"`
	Count int64                   `json:"count"`
}

// Read returns the readings of all classes, sorted by service, rank and caller.
func (t *Tally) Read() []Reading {
	classes := t.load()
	out := make([]Reading, 0, len(classes))
	for key, c := range classes {
		out = append(out, c.read(key))
	}
	slices.SortFunc(out, func(a, b Reading) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Caller, b.Caller))
	})
	return out
}

func (c *class) read(key Key) Reading {
	r := Reading{
		Service: key.Service,
		Rank:    key.Rank,
		Caller:  key.Caller,
		Count:   c.latency.Count(),
		Latency: Summarize(c.latency),
		Wait:    Summarize(c.wait),
		Size:    Summarize(c.size),
	}
	for kind := range c.refused {
		if n := c.refused[kind].Load(); n > 0 {
			r.Refused = append(r.Refused, RefusedKind{Kind: mustardramp.RefusalKind(kind), Count: n})
		}
	}
	return r
}

// Summarize returns the summary of a histogram.
func Summarize(h metrics.Histogram) Summary {
	snapshot := h.Snapshot()
	p := snapshot.Percentiles([]float64{0.5, 0.9, 0.99})
	return Summary{Mean: snapshot.Mean(), P50: p[0], P90: p[1], P99: p[2], Max: snapshot.Max()}
}
