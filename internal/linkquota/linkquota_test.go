package linkquota

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

var start = time.Unix(1_000_000, 0)

// send offers one request of each rank every millisecond for ten seconds and
// returns the allowed bytes per second by rank.
func send(m *Meter, size mustardramp.Bytes, ranks ...mustardramp.Rank) (rates [mustardramp.RankCount]float64) {
	const seconds = 10
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, r := range ranks {
			if m.Allow(r, size, now) {
				rates[r] += float64(size) / seconds
			}
		}
	}
	return rates
}

func TestAllowKeepsTheRate(t *testing.T) {
	const rate = 1_000_000
	tests := map[string]struct {
		hosts int
		rank  mustardramp.Rank
		want  float64
	}{
		"urgent":        {hosts: 1, rank: mustardramp.Urgent, want: rate},
		"normal":        {hosts: 1, rank: mustardramp.Normal, want: 0.75 * rate},
		"bulk":          {hosts: 1, rank: mustardramp.Bulk, want: 0.4 * rate},
		"one of twenty": {hosts: 20, rank: mustardramp.Urgent, want: rate / 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := send(New(rate, tt.hosts), 10_000, tt.rank)[tt.rank]
			// A burst of one second adds a tenth over ten seconds.
			if most := 1.1*tt.want + 2_000; got > most || got < tt.want {
				t.Errorf("got %.0f bytes/s, want %.0f to %.0f", got, tt.want, most)
			}
		})
	}
}

func TestBulkNeverCrowdsOutUrgent(t *testing.T) {
	const rate = 1_000_000
	alone := send(New(rate, 1), 1000, mustardramp.Urgent)[mustardramp.Urgent]
	both := send(New(rate, 1), 1000, mustardramp.Bulk, mustardramp.Urgent)
	if got := both[mustardramp.Urgent]; got < 0.9*alone {
		t.Errorf("got %.0f bytes/s of urgent work beside bulk, want about %.0f", got, alone)
	}
	if got, want := both[mustardramp.Bulk], 0.4*rate*0.2; got > want {
		t.Errorf("got %.0f bytes/s of bulk under urgent overload, want at most %.0f", got, want)
	}
}

func TestLargeRequestDelaysLaterOnes(t *testing.T) {
	m := New(1_000_000, 1)
	if !m.Allow(mustardramp.Urgent, 5_000_000, start) {
		t.Fatal("large request refused on an idle link")
	}
	if m.Allow(mustardramp.Urgent, 1, start.Add(3*time.Second)) {
		t.Error("request allowed while the large request keeps the bucket in debt")
	}
	if !m.Allow(mustardramp.Urgent, 1, start.Add(4100*time.Millisecond)) {
		t.Error("request refused after the debt of the large request is cleared")
	}
}

func TestZeroMeterHasNoLimit(t *testing.T) {
	var m Meter
	if !m.Allow(mustardramp.Bulk, 1<<40, start) || !m.Allow(mustardramp.Bulk, 1<<40, start) {
		t.Error("got no leave without a rate")
	}
}

func TestAnswersAreMetered(t *testing.T) {
	const rate = 1_000_000
	link := &Link{}
	link.Configure(rate, 1)
	s := Service{Link: link}
	s.Learn(mustardramp.Urgent, 100_000)
	allowed := 0
	for ms := range 10_000 {
		if s.Allow(mustardramp.Urgent, 0, start.Add(time.Duration(ms)*time.Millisecond)) {
			allowed++
		}
	}
	// Ten requests per second for ten seconds, and a burst of one second.
	if got, want := allowed, 100; got < want || got > want+12 {
		t.Errorf("got %d requests with answers of 100 kB, want %d to %d", got, want, want+12)
	}
	var unlimited Link
	if s := (Service{Link: &unlimited}); !s.Allow(mustardramp.Bulk, 1<<40, start) || !s.Allow(mustardramp.Bulk, 1<<40, start) {
		t.Error("got no leave without a rate")
	}
}
