package evidence_test

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

func report(t *testing.T, sequence uint64, done, failed uint64) mustardramp.Record {
	t.Helper()
	r := evidence.Report{
		Place: mustardramp.Place{Zone: "kol-a", Region: "kolkata"},
		Services: []evidence.ServiceReport{{
			Service: "mohor",
			Rows:    []evidence.Row{{Backend: 7, Counts: evidence.Counts{Done: done, Failed: failed}}},
			Ejected: []evidence.Claim{{Backend: 7}},
		}},
	}
	record, err := r.Record("h1", mustardramp.Version{Epoch: 1, Sequence: sequence})
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func TestFleetCountsIncreaseBetweenReports(t *testing.T) {
	type sent struct {
		sequence, done, failed uint64
		after                  time.Duration
	}
	tests := map[string]struct {
		reports []sent
		want    evidence.Counts
	}{
		"first report":      {[]sent{{1, 100, 50, 0}}, evidence.Counts{}},
		"growth":            {[]sent{{1, 100, 50, 0}, {2, 110, 51, 0}}, evidence.Counts{Done: 10, Failed: 1}},
		"lost report":       {[]sent{{1, 100, 50, 0}, {4, 130, 53, time.Second}}, evidence.Counts{Done: 30, Failed: 3}},
		"late and repeated": {[]sent{{2, 110, 51, 0}, {1, 100, 50, 0}, {2, 110, 51, 0}, {3, 111, 51, 0}}, evidence.Counts{Done: 1}},
		"after a long gap":  {[]sent{{1, 100, 50, 0}, {9, 9000, 4000, time.Minute}}, evidence.Counts{}},
		"decreasing totals": {[]sent{{1, 100, 50, 0}, {2, 90, 50, 0}}, evidence.Counts{}},
		"failed above done": {[]sent{{1, 100, 50, 0}, {2, 101, 90, 0}}, evidence.Counts{Done: 1, Failed: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var fleet evidence.Fleet
			now := start
			for _, s := range test.reports {
				now = now.Add(s.after)
				if err := fleet.Merge(now, report(t, s.sequence, s.done, s.failed)); err != nil {
					t.Fatal(err)
				}
			}
			got := fleet.TakeCounts("mohor")[evidence.Origin{Zone: "kol-a", Backend: 7}]
			if got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if got := len(fleet.TakeCounts("mohor")); got != 0 {
				t.Errorf("got %d counts from the second call of TakeCounts, want none", got)
			}
		})
	}
}

func TestClaimsOfSilentHostsExpire(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  int
	}{
		"fresh":  {time.Second, 1},
		"silent": {evidence.ClaimExpiry + time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var fleet evidence.Fleet
			if err := fleet.Merge(start, report(t, 1, 1, 1)); err != nil {
				t.Fatal(err)
			}
			got := fleet.Claims(start.Add(test.after), "mohor", time.Second)
			if got.Hosts != 1 || got.Ejected[7].Hosts != test.want {
				t.Errorf("got %d hosts and %d claims, want 1 and %d", got.Hosts, got.Ejected[7].Hosts, test.want)
			}
		})
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa2, 0x01, 0x61, 0x73, 0x02, 0x81, 0x82, 0x07, 0x83, 1, 1, 1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		var fleet evidence.Fleet
		for sequence := range uint64(2) {
			record := mustardramp.Record{
				Kind: mustardramp.RecordEvidence, Key: "h", Payload: payload,
				Version: mustardramp.Version{Epoch: 1, Sequence: sequence},
			}
			if err := fleet.Merge(start, record); err != nil && !evidence.ErrReport.Has(err) {
				t.Errorf("got %v, want class %q", err, evidence.ErrReport)
			}
		}
		fleet.Claims(start, "s", time.Second)
	})
}
