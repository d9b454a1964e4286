package membership

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	_ "github.com/mustardramp/mustardramp/internal/rapidseed"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newHost(i, zones int) Host {
	zone := i % zones
	return Host{
		Name: mustardramp.HostName(fmt.Sprintf("host-%03d", i)),
		Place: mustardramp.Place{
			Zone:   mustardramp.Zone(fmt.Sprint("zone-", zone)),
			Region: mustardramp.Region(fmt.Sprint("region-", zone/2)),
		},
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		Incarnation: 1, Sequence: 1,
	}
}

// newView returns the view of a host that knows all others.
func newView(t testing.TB, self, count, zones int) *Members {
	t.Helper()
	m := New(newHost(self, zones))
	for i := range count {
		learn(t, m, start, newHost(i, zones).record())
	}
	return m
}

func learn(t testing.TB, m *Members, now time.Time, r mustardramp.Record) []mustardramp.Record {
	t.Helper()
	answers, err := m.Learn(now, r)
	if err != nil {
		t.Fatal(err)
	}
	return answers
}

func standingOf(m *Members, name mustardramp.HostName) Standing {
	return m.members[name].Standing
}

func suspicionBy(observer, about int, v mustardramp.Version, withdrawn bool) mustardramp.Record {
	s := suspicion{Host: newHost(about, 4).Name, Observer: newHost(observer, 4).Name, About: v, Withdrawn: withdrawn}
	return s.record(mustardramp.Version{Epoch: 1, Sequence: 1})
}

func TestStanding(t *testing.T) {
	first := mustardramp.Version{Epoch: 1, Sequence: 1}
	restarted := newHost(5, 4)
	restarted.Incarnation = 2
	leaving := newHost(5, 4)
	leaving.Leaving, leaving.Sequence = true, 2
	cases := map[string]struct {
		records []mustardramp.Record
		wait    time.Duration
		want    Standing
	}{
		"no suspicion":               {want: Alive},
		"one observer":               {records: []mustardramp.Record{suspicionBy(1, 5, first, false)}, wait: time.Hour / 2, want: Suspect},
		"two observers, at once":     {records: []mustardramp.Record{suspicionBy(1, 5, first, false), suspicionBy(2, 5, first, false)}, want: Suspect},
		"two observers, not refuted": {records: []mustardramp.Record{suspicionBy(1, 5, first, false), suspicionBy(2, 5, first, false)}, wait: refutationTimeout, want: Lost},
		"the same observer twice":    {records: []mustardramp.Record{suspicionBy(1, 5, first, false), suspicionBy(1, 5, first, false)}, wait: refutationTimeout, want: Suspect},
		"one withdrawn": {
			records: []mustardramp.Record{suspicionBy(1, 5, first, false), suspicionBy(2, 5, first, false), suspicionBy(2, 5, first, true)},
			wait:    refutationTimeout, want: Suspect,
		},
		"restarted": {
			records: []mustardramp.Record{suspicionBy(1, 5, first, false), suspicionBy(2, 5, first, false), restarted.record()},
			wait:    refutationTimeout, want: Alive,
		},
		"suspicions of an earlier start": {
			records: []mustardramp.Record{restarted.record(), suspicionBy(1, 5, first, false), suspicionBy(2, 5, first, false)},
			wait:    refutationTimeout, want: Alive,
		},
		"leaving": {records: []mustardramp.Record{leaving.record()}, want: Draining},
		"leaving, then lost": {
			records: []mustardramp.Record{leaving.record(), suspicionBy(1, 5, leaving.version(), false), suspicionBy(2, 5, leaving.version(), false)},
			wait:    refutationTimeout, want: Lost,
		},
		"old statement after leaving": {records: []mustardramp.Record{leaving.record(), newHost(5, 4).record()}, want: Draining},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newView(t, 0, 12, 4)
			for _, r := range tc.records {
				learn(t, m, start, r)
			}
			m.Step(start.Add(tc.wait))
			if got := standingOf(m, newHost(5, 4).Name); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestSuspicionOfThisHostIsRefuted(t *testing.T) {
	m := newView(t, 5, 12, 4)
	answers := learn(t, m, start, suspicionBy(1, 5, m.Self().version(), false))
	if len(answers) != 1 || !answers[0].Version.After(newHost(5, 4).version()) {
		t.Errorf("got %v, want a newer statement", answers)
	}
	if got := learn(t, m, start, suspicionBy(2, 5, newHost(5, 4).version(), false)); len(got) != 0 {
		t.Errorf("suspicion of an older statement: got %v, want no answer", got)
	}
}

func TestStatementOfAnEarlierStartIsSuperseded(t *testing.T) {
	m := newView(t, 5, 12, 4)
	earlier := newHost(5, 4)
	earlier.Incarnation, earlier.Leaving = 9, true
	answers := learn(t, m, start, earlier.record())
	if len(answers) != 1 || !answers[0].Version.After(earlier.version()) || m.Self().Leaving {
		t.Errorf("got %v, want a newer statement that does not leave", answers)
	}
}

func TestFailingHostIsSuspectedAndAvoided(t *testing.T) {
	m := newView(t, 0, 12, 4)
	peer := m.Peers(start)[0]
	if got := m.ReportFailure(start, peer.Name); len(got) != 0 {
		t.Errorf("got %v after one failure, want none", got)
	}
	now := start.Add(suspectAfter)
	if got := m.ReportFailure(now, peer.Name); len(got) != 1 {
		t.Errorf("got %v after %v without an answer, want a suspicion", got, suspectAfter)
	}
	m.Step(now)
	for _, p := range m.Peers(now) {
		if p.Name == peer.Name && !m.probes[p.Name] {
			t.Errorf("got a link to %s, which does not answer", p.Name)
		}
	}
	if got := m.ReportSuccess(now, peer.Name); len(got) != 1 {
		t.Errorf("got %v after an answer, want the suspicion withdrawn", got)
	}
	if got := standingOf(m, peer.Name); got != Alive {
		t.Errorf("got %v, want alive", got)
	}
}

func TestLostHostIsForgotten(t *testing.T) {
	m := newView(t, 0, 12, 4)
	v := newHost(5, 4).version()
	learn(t, m, start, suspicionBy(1, 5, v, false))
	learn(t, m, start, suspicionBy(2, 5, v, false))
	lost := start.Add(refutationTimeout)
	if got := m.Step(lost); len(got) != 0 {
		t.Errorf("got %v forgotten at once, want none", got)
	}
	if got, want := len(m.Step(lost.Add(forgetAfter))), 3; got != want {
		t.Errorf("got %d records to forget, want %d", got, want)
	}
}

// TestLinksJoinAllHosts guards against a fleet whose links leave a host out, or lead
// across regions more often than the bridge hosts need.
func TestLinksJoinAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 60).Draw(rt, "hosts")
		zones := rapid.IntRange(1, 6).Draw(rt, "zones")
		links := make(map[mustardramp.HostName][]Host, count)
		crossing := 0
		for i := range count {
			m := newView(t, i, count, zones)
			links[m.Self().Name] = m.Peers(start)
			for _, p := range links[m.Self().Name] {
				if p.Place.Region != m.Self().Place.Region {
					crossing++
				}
			}
		}
		regions := (zones + 1) / 2
		if limit := regions * (regions - 1) * bridgesPerRegion * bridgesPerRegion; crossing > limit {
			rt.Errorf("got %d links across regions, want at most %d", crossing, limit)
		}
		for from := range links {
			if got := reachableCount(links, from); got != count {
				rt.Errorf("got %d hosts reached from %s, want %d", got, from, count)
			}
		}
	})
}

func reachableCount(links map[mustardramp.HostName][]Host, from mustardramp.HostName) int {
	seen := map[mustardramp.HostName]bool{from: true}
	for queue := []mustardramp.HostName{from}; len(queue) > 0; queue = queue[1:] {
		for _, p := range links[queue[0]] {
			if !seen[p.Name] {
				seen[p.Name] = true
				queue = append(queue, p.Name)
			}
		}
	}
	return len(seen)
}

func FuzzLearn(f *testing.F) {
	f.Add(newHost(1, 4).record().Payload)
	f.Add(suspicionBy(1, 5, mustardramp.Version{Epoch: 1}, false).Payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		m := newView(t, 0, 4, 4)
		_, _ = m.Learn(start, mustardramp.Record{Kind: mustardramp.RecordHost, Payload: payload})
		m.Step(start)
		m.Peers(start)
	})
}

func TestSourcesReachOtherRegionsOnlyWhenTheOwnIsSmall(t *testing.T) {
	cases := map[string]struct {
		hosts, regions, want int
	}{
		"own region suffices": {hosts: 12, regions: 1, want: 3},
		"small fleet":         {hosts: 3, regions: 3, want: 2},
		"alone":               {hosts: 1, regions: 1, want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newView(t, 0, tc.hosts, tc.regions)
			if got := len(m.Sources(start, 3)); got != tc.want {
				t.Errorf("got %d hosts, want %d", got, tc.want)
			}
		})
	}
}

// BenchmarkPeers measures the processor time of one choice of peers. The command
// is go test -run xxx -bench Peers ./internal/membership.
func BenchmarkPeers(b *testing.B) {
	for _, count := range []int{40, 640, 6400} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			before := liveBytes()
			m := newView(b, 0, count, 9)
			size := liveBytes() - before
			now := start
			for b.Loop() {
				now = now.Add(peerRefreshInterval)
				m.Step(now)
				m.Peers(now)
			}
			b.ReportMetric(float64(size)/float64(count), "bytes/host")
		})
	}
}

// liveBytes returns the bytes of live objects.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
