package membership

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	_ "github.com/mustardramp/mustardramp/internal/draws"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func host(i, zones int) Host {
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

// view returns the view of a host that knows all others.
func view(t testing.TB, self, count, zones int) *Members {
	t.Helper()
	m := New(host(self, zones))
	for i := range count {
		learn(t, m, start, host(i, zones).record())
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

func standing(m *Members, name mustardramp.HostName) Standing {
	return m.members[name].Standing
}

func doubtBy(observer, about int, v mustardramp.Version, withdrawn bool) mustardramp.Record {
	d := doubt{Host: host(about, 4).Name, Observer: host(observer, 4).Name, About: v, Withdrawn: withdrawn}
	return d.record(mustardramp.Version{Epoch: 1, Sequence: 1})
}

func TestStanding(t *testing.T) {
	first := mustardramp.Version{Epoch: 1, Sequence: 1}
	restarted := host(5, 4)
	restarted.Incarnation = 2
	leaving := host(5, 4)
	leaving.Leaving, leaving.Sequence = true, 2
	cases := map[string]struct {
		records []mustardramp.Record
		wait    time.Duration
		want    Standing
	}{
		"nothing heard":           {want: Alive},
		"one observer":            {records: []mustardramp.Record{doubtBy(1, 5, first, false)}, wait: time.Hour / 2, want: Suspect},
		"two observers, at once":  {records: []mustardramp.Record{doubtBy(1, 5, first, false), doubtBy(2, 5, first, false)}, want: Suspect},
		"two observers, no reply": {records: []mustardramp.Record{doubtBy(1, 5, first, false), doubtBy(2, 5, first, false)}, wait: refuteTime, want: Lost},
		"the same observer twice": {records: []mustardramp.Record{doubtBy(1, 5, first, false), doubtBy(1, 5, first, false)}, wait: refuteTime, want: Suspect},
		"one withdrawn": {
			records: []mustardramp.Record{doubtBy(1, 5, first, false), doubtBy(2, 5, first, false), doubtBy(2, 5, first, true)},
			wait:    refuteTime, want: Suspect,
		},
		"restarted": {
			records: []mustardramp.Record{doubtBy(1, 5, first, false), doubtBy(2, 5, first, false), restarted.record()},
			wait:    refuteTime, want: Alive,
		},
		"doubts of an earlier start": {
			records: []mustardramp.Record{restarted.record(), doubtBy(1, 5, first, false), doubtBy(2, 5, first, false)},
			wait:    refuteTime, want: Alive,
		},
		"leaving": {records: []mustardramp.Record{leaving.record()}, want: Draining},
		"leaving, then lost": {
			records: []mustardramp.Record{leaving.record(), doubtBy(1, 5, leaving.version(), false), doubtBy(2, 5, leaving.version(), false)},
			wait:    refuteTime, want: Lost,
		},
		"old statement after leaving": {records: []mustardramp.Record{leaving.record(), host(5, 4).record()}, want: Draining},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := view(t, 0, 12, 4)
			for _, r := range tc.records {
				learn(t, m, start, r)
			}
			m.Step(start.Add(tc.wait))
			if got := standing(m, host(5, 4).Name); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestDoubtOfThisHostIsRefuted(t *testing.T) {
	m := view(t, 5, 12, 4)
	answers := learn(t, m, start, doubtBy(1, 5, m.Self().version(), false))
	if len(answers) != 1 || !answers[0].Version.After(host(5, 4).version()) {
		t.Errorf("got %v, want a newer statement", answers)
	}
	if got := learn(t, m, start, doubtBy(2, 5, host(5, 4).version(), false)); len(got) != 0 {
		t.Errorf("doubt of an older statement: got %v, want no answer", got)
	}
}

func TestStatementOfAnEarlierStartIsOutlived(t *testing.T) {
	m := view(t, 5, 12, 4)
	earlier := host(5, 4)
	earlier.Incarnation, earlier.Leaving = 9, true
	answers := learn(t, m, start, earlier.record())
	if len(answers) != 1 || !answers[0].Version.After(earlier.version()) || m.Self().Leaving {
		t.Errorf("got %v, want a newer statement that does not leave", answers)
	}
}

func TestSilentHostIsDoubtedAndAvoided(t *testing.T) {
	m := view(t, 0, 12, 4)
	peer := m.Peers(start)[0]
	if got := m.Missed(start, peer.Name); len(got) != 0 {
		t.Errorf("got %v after one failure, want none", got)
	}
	now := start.Add(suspectAfter)
	if got := m.Missed(now, peer.Name); len(got) != 1 {
		t.Errorf("got %v after %v of silence, want a doubt", got, suspectAfter)
	}
	m.Step(now)
	for _, p := range m.Peers(now) {
		if p.Name == peer.Name && !m.probes[p.Name] {
			t.Errorf("got a link to the silent %s", p.Name)
		}
	}
	if got := m.Heard(now, peer.Name); len(got) != 1 {
		t.Errorf("got %v after an echo, want the doubt withdrawn", got)
	}
	if got := standing(m, peer.Name); got != Alive {
		t.Errorf("got %v, want alive", got)
	}
}

func TestLostHostIsForgotten(t *testing.T) {
	m := view(t, 0, 12, 4)
	v := host(5, 4).version()
	learn(t, m, start, doubtBy(1, 5, v, false))
	learn(t, m, start, doubtBy(2, 5, v, false))
	lost := start.Add(refuteTime)
	if got := m.Step(lost); len(got) != 0 {
		t.Errorf("got %v forgotten at once, want none", got)
	}
	if got, want := len(m.Step(lost.Add(forgetAfter))), 3; got != want {
		t.Errorf("got %d records to forget, want %d", got, want)
	}
}

// The links of all hosts lead from each to each, few of them across regions.
func TestLinksJoinAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 60).Draw(rt, "hosts")
		zones := rapid.IntRange(1, 6).Draw(rt, "zones")
		links := make(map[mustardramp.HostName][]Host, count)
		crossing := 0
		for i := range count {
			m := view(t, i, count, zones)
			links[m.Self().Name] = m.Peers(start)
			for _, p := range links[m.Self().Name] {
				if p.Place.Region != m.Self().Place.Region {
					crossing++
				}
			}
		}
		regions := (zones + 1) / 2
		if limit := regions * (regions - 1) * bridgeHosts * bridgeHosts; crossing > limit {
			rt.Errorf("got %d links across regions, want at most %d", crossing, limit)
		}
		for from := range links {
			if got := reached(links, from); got != count {
				rt.Errorf("got %d hosts reached from %s, want %d", got, from, count)
			}
		}
	})
}

func reached(links map[mustardramp.HostName][]Host, from mustardramp.HostName) int {
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
	f.Add(host(1, 4).record().Payload)
	f.Add(doubtBy(1, 5, mustardramp.Version{Epoch: 1}, false).Payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		m := view(t, 0, 4, 4)
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
			m := view(t, 0, tc.hosts, tc.regions)
			if got := len(m.Sources(start, 3)); got != tc.want {
				t.Errorf("got %d hosts, want %d", got, tc.want)
			}
		})
	}
}

// BenchmarkPeers measures the processor time of one choice of peers: the
// command is go test -run xxx -bench Peers ./internal/membership.
func BenchmarkPeers(b *testing.B) {
	for _, count := range []int{40, 640, 6400} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			before := live()
			m := view(b, 0, count, 9)
			size := live() - before
			now := start
			for b.Loop() {
				now = now.Add(choosePause)
				m.Step(now)
				m.Peers(now)
			}
			b.ReportMetric(float64(size)/float64(count), "bytes/host")
		})
	}
}

// live returns the bytes of live objects.
func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
