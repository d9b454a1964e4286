package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// rankTotals counts the requests of one rank.
type rankTotals struct {
	offered, served int
	// work is the slot time used by requests that ended in the measured period.
	work time.Duration
}

// loadGenerator sends requests to all hosts of a network.
type loadGenerator struct {
	net    *network
	random *rand.Rand
	// from and until bound the measured period.
	from, until time.Time
	group       errgroup.Group

	mu    sync.Mutex
	ranks [mustardramp.RankCount]rankTotals
}

// meanWork is the mean service time of a request.
const meanWork = 100 * time.Millisecond

// offer sends requests of a rank at random intervals, rate per second on average.
func (g *loadGenerator) offer(rank mustardramp.Rank, rate float64) {
	g.mu.Lock()
	random := rand.New(rand.NewPCG(g.random.Uint64(), g.random.Uint64()))
	g.mu.Unlock()
	g.group.Go(func() error {
		for time.Now().Before(g.until) {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			host := g.net.hosts[random.IntN(len(g.net.hosts))].Name
			work := time.Duration(random.ExpFloat64() * float64(meanWork))
			g.group.Go(func() error { return g.request(host, rank, work) })
		}
		return nil
	})
}

// request sends one request and counts its outcome.
func (g *loadGenerator) request(host mustardramp.HostName, rank mustardramp.Rank, work time.Duration) error {
	arrived := time.Now()
	measured := !arrived.Before(g.from) && arrived.Before(g.until)
	if measured {
		g.mu.Lock()
		g.ranks[rank].offered++
		g.mu.Unlock()
	}
	slot, err := g.net.pools[host].Acquire(context.Background(), mustardramp.Demand{
		Rank: rank, Caller: mustardramp.CallerName(host), Deadline: arrived.Add(time.Minute),
	})
	if err != nil {
		if _, ok := err.(*mustardramp.Denial); !ok {
			return err
		}
		return nil
	}
	time.Sleep(work)
	slot.Release(mustardramp.ResultSuccess, work)
	ended := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if measured {
		g.ranks[rank].served++
	}
	if !ended.Before(g.from) && ended.Before(g.until) {
		g.ranks[rank].work += work
	}
	return nil
}

// spreadPressure sends the pressure records of all hosts to all hosts, as the hosts
// do in a fleet.
func (g *loadGenerator) spreadPressure() {
	g.group.Go(func() error {
		for time.Now().Before(g.until) {
			time.Sleep(PressureInterval)
			for _, p := range g.net.pools {
				records, err := p.Pressure()
				if err != nil {
					return err
				}
				for _, r := range records {
					for _, q := range g.net.pools {
						if err := q.ApplyPressure(r); err != nil {
							return err
						}
					}
				}
			}
		}
		return nil
	})
}

// TestRankSharesUnderOverload overloads the pools of 16 hosts and checks the share
// of urgent requests that are served and the share of the slot time that each rank
// gets.
func TestRankSharesUnderOverload(t *testing.T) {
	tests := map[string]struct {
		// offered is the load as a multiple of the capacity, and least the
		// smallest share of the slot time that the rank must get.
		offered, least [mustardramp.RankCount]float64
		// urgentServed is the smallest share of urgent requests that must be
		// served.
		urgentServed float64
	}{
		"bulk overload":   {offered: [3]float64{0.4, 0.2, 5}, urgentServed: 0.995},
		"urgent overload": {offered: [3]float64{3, 0.6, 0.6}, least: [3]float64{0, 0.30, 0.15}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var backends []mustardramp.Standing
				for n := range 6 {
					backends = append(backends, standing(n, []mustardramp.Place{kolA, kolB}[n%2], 6))
				}
				net := newNetwork(16, backends...)
				defer net.close()
				g := &loadGenerator{net: net, random: rand.New(rand.NewPCG(1, 2))}
				g.from, g.until = time.Now().Add(4*time.Second), time.Now().Add(10*time.Second)
				const slots = 36
				for _, r := range mustardramp.Ranks() {
					g.offer(r, tt.offered[r]*slots/meanWork.Seconds())
				}
				g.spreadPressure()
				if err := g.group.Wait(); err != nil {
					t.Fatal(err)
				}
				if got := float64(g.ranks[0].served) / float64(g.ranks[0].offered); got < tt.urgentServed {
					t.Errorf("urgent served: got %.4f, want at least %.4f", got, tt.urgentServed)
				}
				for _, r := range mustardramp.Ranks() {
					got := g.ranks[r].work.Seconds() / (slots * g.until.Sub(g.from).Seconds())
					t.Logf("%s: %.3f of the slot time, %d of %d served", r, got, g.ranks[r].served, g.ranks[r].offered)
					if got < tt.least[r] {
						t.Errorf("%s: got %.3f of the slot time, want its share of %.2f", r, got, tt.least[r])
					}
				}
			})
		})
	}
}
