package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// controlHostCount is the number of control hosts in the fleets of the benchmarks.
const controlHostCount = 5

// localFleet is a fleet of hosts in this process, joined by links over loopback.
type localFleet struct {
	hosts   []*Exchange
	servers []*link.Server
	stops   []func()
}

func startFleet(b *testing.B, count int) *localFleet {
	b.Helper()
	f := &localFleet{}
	var seeds []netip.AddrPort
	for i := range count {
		o := Options{Self: newHost(i, membership.Entry), Seeds: seeds}
		if i < controlHostCount {
			o.Self.Role, o.Log = membership.Control, &fakeLog{}
		}
		f.start(b, o)
		if i < seedCount {
			seeds = append(seeds, f.hosts[i].options.Self.Address)
		}
	}
	waitFor(b, "whole fleet", func() bool {
		for _, e := range f.hosts {
			if len(e.Members()) != count-1 || !e.Ready() {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	return f
}

func (f *localFleet) start(b *testing.B, o Options) *Exchange {
	b.Helper()
	server := &link.Server{}
	e, stop := startServer(b, server, o)
	f.hosts = append(f.hosts, e)
	f.servers = append(f.servers, server)
	f.stops = append(f.stops, stop)
	return e
}

// sentBytes returns the bytes that all hosts have sent.
func (f *localFleet) sentBytes() mustardramp.Bytes {
	var sum mustardramp.Bytes
	for i, e := range f.hosts {
		sum += f.servers[i].Traffic.Sent()
		for _, u := range e.Usage() {
			sum += u.Sent
		}
	}
	return sum
}

// chargedBytes returns the bytes that the budgets of all hosts were charged with.
func (f *localFleet) chargedBytes() mustardramp.Bytes {
	var sum mustardramp.Bytes
	for _, e := range f.hosts {
		e.mu.Lock()
		sum += e.core.Node.Spent()
		e.mu.Unlock()
	}
	return sum
}

// crossRegionBytes returns the bytes that travelled across regions.
func (f *localFleet) crossRegionBytes() mustardramp.Bytes {
	var sum mustardramp.Bytes
	for _, e := range f.hosts {
		u := e.Usage()[mustardramp.AcrossRegions]
		sum += u.Sent + u.Received
	}
	return sum
}

// deliveries records when each change was delivered at the hosts, by epoch.
type deliveries struct {
	mu sync.Mutex
	at map[uint64][]time.Time
}

func (a *deliveries) watch(e *Exchange) {
	e.Watch(mustardramp.RecordChange, func(r mustardramp.Record) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.at[r.Version.Epoch] = append(a.at[r.Version.Epoch], time.Now())
	})
}

func (a *deliveries) times(epoch uint64) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.at[epoch])
}

// contractChange returns a change that is about as long and as compressible as a
// contract file.
func contractChange(service string, epoch uint64) mustardramp.Record {
	r := change(service, epoch, 0)
	r.Payload = []byte(contractText(service, 20, epoch))
	return r
}

// contractText returns a contract file with the given number of routes.
func contractText(service string, routes int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var s strings.Builder
	fmt.Fprintf(&s, "service: %s\nhosts: [%s.example]\nfloor: 60\nslots: 6\nconnections: 400\nroutes:\n", service, service)
	for i := range routes {
		fmt.Fprintf(&s, "- path: /%x/%d/{id}\n  methods: [GET, HEAD]\n  rank: normal\n  retry: true\n  deadline: %dms\n",
			random.Uint32(), i, 500+random.IntN(5000))
	}
	return s.String()
}

// BenchmarkChangeInForce measures the time from the acceptance of a change to
// its delivery at the watchers of all hosts. The command is
// go test -bench ChangeInForce -benchtime 40x ./internal/exchange.
func BenchmarkChangeInForce(b *testing.B) {
	cases := map[string]struct {
		lost int
		gone bool
	}{
		"lost=0":       {},
		"lost=1":       {lost: 1},
		"lost=2":       {lost: 2},
		"control=gone": {gone: true},
	}
	for _, name := range slices.Sorted(mapKeys(cases)) {
		tc := cases[name]
		b.Run("hosts=40/"+name, func(b *testing.B) { benchmarkInForce(b, tc.lost, tc.gone) })
	}
}

func mapKeys[K comparable, V any](m map[K]V) func(func(K) bool) {
	return func(yield func(K) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func benchmarkInForce(b *testing.B, lost int, gone bool) {
	f := startFleet(b, 40)
	a := &deliveries{at: map[uint64][]time.Time{}}
	for _, e := range f.hosts[controlHostCount:] {
		a.watch(e)
	}
	for i := range lost {
		f.stops[i]()
	}
	live := len(f.hosts) - controlHostCount
	var latencies []time.Duration
	b.ResetTimer()
	for i := range b.N {
		epoch := uint64(i + 1)
		accepted := time.Now()
		for _, e := range f.hosts[lost:controlHostCount] {
			e.Offer(contractChange(fmt.Sprint("service-", i%9), epoch))
		}
		if gone && i == b.N-1 {
			waitCopies(b, f.hosts[0], contractChange(fmt.Sprint("service-", i%9), epoch))
			stopAll(f.stops[:controlHostCount])
		}
		waitFor(b, "change everywhere", func() bool { return len(a.times(epoch)) >= live })
		for _, at := range a.times(epoch) {
			latencies = append(latencies, at.Sub(accepted))
		}
		if gone {
			latencies = latencies[max(0, len(latencies)-live):]
		}
		time.Sleep(250 * time.Millisecond)
	}
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(latencies[len(latencies)-1].Seconds()*1000, "max-ms")
}

// waitCopies waits until two entry hosts hold a change, from when on the change
// counts as accepted.
func waitCopies(b *testing.B, e *Exchange, r mustardramp.Record) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := e.WaitCopies(ctx, r, 2); err != nil {
		b.Fatal(err)
	}
}

// stopAll stops hosts in parallel.
func stopAll(stops []func()) {
	var group errgroup.Group
	for _, stop := range stops {
		group.Go(func() error {
			stop()
			return nil
		})
	}
	_ = group.Wait()
}

// BenchmarkCatchUp measures the time until a started host holds all changes and is
// ready, in a fleet of ten. The command is
// go test -bench CatchUp -benchtime 5x ./internal/exchange.
func BenchmarkCatchUp(b *testing.B) {
	for _, services := range []int{10, 200, 1000} {
		b.Run(fmt.Sprintf("changes=1000/services=%d", services), func(b *testing.B) {
			f := startFleet(b, 10)
			for i := range 1000 {
				r := contractChange(fmt.Sprint("service-", i%services), uint64(i+1))
				for _, e := range f.hosts {
					e.Offer(r)
				}
			}
			var elapsed time.Duration
			var bytes mustardramp.Bytes
			b.ResetTimer()
			for i := range b.N {
				begin := time.Now()
				o := Options{Self: newHost(20+i, membership.Entry), Seeds: []netip.AddrPort{f.hosts[i%seedCount].options.Self.Address}}
				before := f.sentBytes()
				e, stop := startServer(b, &link.Server{}, o)
				waitFor(b, "host in sync", func() bool { return e.Ready() && e.State() == f.hosts[0].State() })
				elapsed += time.Since(begin)
				bytes += f.sentBytes() - before
				stop()
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(elapsed.Seconds()*1000/float64(b.N), "ms/catch-up")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/catch-up")
		})
	}
}

// BenchmarkSteady measures what the exchange costs a host while nothing changes,
// and while each host sends a summary every two seconds and a change comes every
// four seconds, about 21,000 a day. The command is
// go test -bench Steady -benchtime 10x ./internal/exchange (one round per second).
func BenchmarkSteady(b *testing.B) {
	for _, busy := range []bool{false, true} {
		for _, count := range []int{10, 20, 40, 80} {
			b.Run(fmt.Sprintf("busy=%v/hosts=%d", busy, count), func(b *testing.B) {
				benchmarkSteady(b, count, busy)
			})
		}
	}
}

func benchmarkSteady(b *testing.B, count int, busy bool) {
	before := heapBytes()
	f := startFleet(b, count)
	sent, charged, crossed, cpu := f.sentBytes(), f.chargedBytes(), f.crossRegionBytes(), cpuTime()
	begin := time.Now()
	b.ResetTimer()
	for i := range b.N {
		if busy {
			f.offerRound(i)
		}
		time.Sleep(time.Second)
	}
	b.StopTimer()
	perHost := float64(count) * time.Since(begin).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.sentBytes()-sent)/perHost, "bytes/s/host")
	b.ReportMetric(float64(f.chargedBytes()-charged)/float64(f.sentBytes()-sent), "charged/sent")
	b.ReportMetric(float64(f.crossRegionBytes()-crossed)/time.Since(begin).Seconds(), "crossing-bytes/s")
	b.ReportMetric((cpuTime()-cpu).Seconds()*100/perHost, "%core/host")
	b.ReportMetric(float64(heapBytes()-before)/float64(count)/1024, "KB/host")
}

// offerRound offers the records of one second.
func (f *localFleet) offerRound(i int) {
	for j, e := range f.hosts {
		if (i+j)%2 == 0 {
			e.Offer(mustardramp.Record{
				Kind: mustardramp.RecordEvidence, Key: string(hostName(j)),
				Version: mustardramp.Version{Epoch: 1, Sequence: uint64(i + 1)}, Payload: make([]byte, 200),
			})
		}
	}
	if i%4 == 0 {
		for _, e := range f.hosts[:controlHostCount] {
			e.Offer(contractChange(fmt.Sprint("service-", i%9), uint64(i+1)))
		}
	}
}

// BenchmarkUpdateCost measures the bytes and the processor time that one update
// costs each host, beyond those of an idle fleet in the same run. The command is
// go test -run xxx -bench UpdateCost -benchtime 5x ./internal/exchange (one round
// per second).
func BenchmarkUpdateCost(b *testing.B) {
	backend := func(i int) mustardramp.Record {
		return mustardramp.Record{
			Kind: mustardramp.RecordBackend, Key: fmt.Sprintf("service-%d/10.1.0.1:80", i),
			Version: mustardramp.Version{Epoch: 1}, Payload: make([]byte, 120),
		}
	}
	contract := func(i int) mustardramp.Record { return contractChange("service", uint64(i+1)) }
	cases := map[string]struct {
		record  func(i int) mustardramp.Record
		perStep int
	}{
		"kind=backend/rate=1":  {backend, 1},
		"kind=backend/rate=10": {backend, 10},
		"kind=contract/rate=1": {contract, 1},
	}
	for _, name := range slices.Sorted(mapKeys(cases)) {
		for _, count := range []int{20, 40, 80} {
			b.Run(fmt.Sprintf("%s/hosts=%d", name, count), func(b *testing.B) {
				benchmarkUpdateCost(b, count, cases[name].perStep, cases[name].record)
			})
		}
	}
}

func benchmarkUpdateCost(b *testing.B, count, perStep int, record func(int) mustardramp.Record) {
	f := startFleet(b, count)
	measure := func(step func(i int)) (bytes, cpu float64) {
		sent, used := f.sentBytes(), cpuTime()
		for i := range b.N {
			step(i)
			time.Sleep(time.Second)
		}
		return float64(f.sentBytes()-sent) / float64(count), (cpuTime() - used).Seconds() * 1e6 / float64(count)
	}
	idleBytes, idleCPU := measure(func(int) {})
	bytes, cpu := measure(func(i int) {
		for j := range perStep {
			f.hosts[(i+j)%count].Offer(record(i*perStep + j))
		}
	})
	records := float64(b.N * perStep)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(idleBytes/float64(b.N), "idle-bytes/s/host")
	b.ReportMetric((bytes-idleBytes)/records, "bytes/news/host")
	b.ReportMetric((cpu-idleCPU)/records, "cpu-us/news/host")
}

// BenchmarkModelSpread measures, on a virtual clock with 3 ms of delay each way,
// how long a change takes to reach all hosts of larger fleets. The command is
// go test -run xxx -bench ModelSpread -benchtime 3x ./internal/exchange.
func BenchmarkModelSpread(b *testing.B) {
	for _, count := range []int{40, 80, 160, 320} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			m := newMesh(b, 1, count)
			m.run(5 * time.Minute)
			var latencies []time.Duration
			var offered time.Time
			m.onAccepted = func(_ mustardramp.HostName, r mustardramp.Record) {
				if r.Kind == mustardramp.RecordChange {
					latencies = append(latencies, m.now.Sub(offered))
				}
			}
			for i := range b.N {
				offered = m.now
				m.offer(hostName(i), contractChange("service", uint64(i+1)))
				m.run(changePeriod)
			}
			if got, want := len(latencies), b.N*count; got != want {
				b.Errorf("got %d arrivals, want %d", got, want)
			}
			slices.Sort(latencies)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(latencies[len(latencies)/2].Seconds()*1000, "p50-model-ms")
			b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1000, "p99-model-ms")
			b.ReportMetric(latencies[len(latencies)-1].Seconds()*1000, "max-model-ms")
		})
	}
}

// BenchmarkSummaryAge measures, on a virtual clock, the age of the summaries that
// each host holds of the others, while each host makes one every 500 ms. The
// command is go test -run xxx -bench SummaryAge -benchtime 1x ./internal/exchange.
func BenchmarkSummaryAge(b *testing.B) {
	for _, length := range []int{100, 400} {
		for _, count := range []int{10, 40, 80} {
			b.Run(fmt.Sprintf("bytes=%d/hosts=%d", length, count), func(b *testing.B) {
				for range b.N {
					benchmarkSummaryAge(b, length, count)
				}
			})
		}
	}
}

func benchmarkSummaryAge(b *testing.B, length, count int) {
	const pause = 500 * time.Millisecond
	m := newMesh(b, 1, count)
	m.run(5 * time.Minute)
	held := map[direction]uint64{}
	m.onAccepted = func(host mustardramp.HostName, r mustardramp.Record) {
		held[direction{host, mustardramp.HostName(r.Key)}] = r.Version.Sequence
	}
	const rounds, warmup = 240, 120
	var ages []float64
	random := rand.New(rand.NewPCG(1, 1))
	for round := uint64(1); round <= rounds; round++ {
		for _, host := range m.names {
			payload := make([]byte, length)
			for i := range payload {
				payload[i] = byte(random.Uint32())
			}
			m.offer(host, mustardramp.Record{
				Kind: mustardramp.RecordEvidence, Key: string(host),
				Version: mustardramp.Version{Epoch: 1, Sequence: round}, Payload: payload,
			})
		}
		m.run(pause)
		if round < warmup {
			continue
		}
		for _, host := range m.names {
			for _, of := range m.names {
				if host != of {
					ages = append(ages, float64(round-held[direction{host, of}])*pause.Seconds())
				}
			}
		}
	}
	slices.Sort(ages)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ages[len(ages)/2], "p50-model-s")
	b.ReportMetric(ages[len(ages)*99/100], "p99-model-s")
}

// heapBytes returns the bytes of live objects and stacks.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRecords measures the memory that a host's store takes per record. The
// command is go test -bench Records -benchtime 1x ./internal/exchange.
func BenchmarkRecords(b *testing.B) {
	kinds := map[string]func(i int) mustardramp.Record{
		"backend": func(i int) mustardramp.Record {
			return mustardramp.Record{
				Kind: mustardramp.RecordBackend, Key: fmt.Sprintf("service-%d/10.1.%d.%d:8080", i%2000, i>>8, i&255),
				Version: mustardramp.Version{Epoch: uint64(i), Sequence: 1}, Payload: make([]byte, 120),
			}
		},
		"host": func(i int) mustardramp.Record {
			h := newHost(i, membership.Entry)
			h.Address, h.Incarnation = hostAddress(i), 1_700_000_000
			return membership.New(h).Statement()
		},
		"contract": func(i int) mustardramp.Record {
			return contractChange(fmt.Sprint("service-", i), uint64(i))
		},
	}
	for _, kind := range slices.Sorted(mapKeys(kinds)) {
		for _, count := range []int{1000, 4000, 16000} {
			b.Run(fmt.Sprintf("kind=%s/records=%d", kind, count), func(b *testing.B) {
				for range b.N {
					before := heapBytes()
					n := NewNode("host", 1, 0)
					for i := range count {
						n.Offer(start, kinds[kind](i))
					}
					b.ReportMetric(float64(heapBytes()-before)/float64(count), "bytes/record")
					runtime.KeepAlive(n)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkDigest measures the processor time of one idle request and its
// answer between two nodes that hold the same records.
func BenchmarkDigest(b *testing.B) {
	for _, count := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			x, y := NewNode("x", 1, 0), NewNode("y", 2, 0)
			for i := range count {
				r := change(fmt.Sprint("service-", i), uint64(i), 10)
				x.Offer(start, r)
				y.Offer(start, r)
			}
			x.SetLinks(start, []Peer{{Name: "y"}})
			now := start
			for b.Loop() {
				now = now.Add(heartbeatInterval)
				sends, _ := x.Poll(now)
				for _, s := range sends {
					resp, _, err := y.HandleRequest(now, s.Request)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := x.HandleResponse(now, "y", s.Request, resp); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
