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

// counted is what became of the requests of one rank.
type counted struct {
	offered, served int
	// work is the slot time that was used while the flood was counted.
	work time.Duration
}

// crowd offers work to all hosts of a network for some seconds.
type crowd struct {
	net    *network
	random *rand.Rand
	// from and until bound the counted time.
	from, until time.Time
	group       errgroup.Group

	mu    sync.Mutex
	ranks [mustardramp.RankCount]counted
}

const crowdWork = 100 * time.Millisecond

// offer starts requests of a rank at a rate until the end.
func (c *crowd) offer(rank mustardramp.Rank, rate float64) {
	c.mu.Lock()
	random := rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
	c.mu.Unlock()
	c.group.Go(func() error {
		for time.Now().Before(c.until) {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			host := c.net.hosts[random.IntN(len(c.net.hosts))].Name
			work := time.Duration(random.ExpFloat64() * float64(crowdWork))
			c.group.Go(func() error { return c.request(host, rank, work) })
		}
		return nil
	})
}

func (c *crowd) request(host mustardramp.HostName, rank mustardramp.Rank, work time.Duration) error {
	arrived := time.Now()
	inTime := !arrived.Before(c.from) && arrived.Before(c.until)
	if inTime {
		c.mu.Lock()
		c.ranks[rank].offered++
		c.mu.Unlock()
	}
	slot, err := c.net.pools[host].Acquire(context.Background(), mustardramp.Demand{
		Rank: rank, Caller: mustardramp.CallerName(host), Deadline: arrived.Add(time.Minute),
	})
	if err != nil {
		if _, ok := err.(*mustardramp.Denial); !ok {
			return err
		}
		return nil
	}
	time.Sleep(work)
	slot.Release(mustardramp.ResultGood, work)
	ended := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if inTime {
		c.ranks[rank].served++
	}
	if !ended.Before(c.from) && ended.Before(c.until) {
		c.ranks[rank].work += work
	}
	return nil
}

// tell spreads the statements of all keepers, as hosts do.
func (c *crowd) tell() {
	c.group.Go(func() error {
		for time.Now().Before(c.until) {
			time.Sleep(PressureInterval)
			for _, p := range c.net.pools {
				records, err := p.Pressure()
				if err != nil {
					return err
				}
				for _, r := range records {
					for _, q := range c.net.pools {
						if err := q.Learn(r); err != nil {
							return err
						}
					}
				}
			}
		}
		return nil
	})
}

// TestFloodThroughLeases runs the pools of 16 hosts through floods and holds
// them to the targets of ranks.
func TestFloodThroughLeases(t *testing.T) {
	tests := map[string]struct {
		// offered is a multiple of the capacity, and least the share of the
		// slot time that the rank must get.
		offered, least [mustardramp.RankCount]float64
		urgentServed   float64
	}{
		"bulk":   {offered: [3]float64{0.4, 0.2, 5}, urgentServed: 0.995},
		"urgent": {offered: [3]float64{3, 0.6, 0.6}, least: [3]float64{0, 0.30, 0.15}},
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
				c := &crowd{net: net, random: rand.New(rand.NewPCG(1, 2))}
				c.from, c.until = time.Now().Add(4*time.Second), time.Now().Add(10*time.Second)
				const slots = 36
				for _, r := range mustardramp.Ranks() {
					c.offer(r, tt.offered[r]*slots/crowdWork.Seconds())
				}
				c.tell()
				if err := c.group.Wait(); err != nil {
					t.Fatal(err)
				}
				if got := float64(c.ranks[0].served) / float64(c.ranks[0].offered); got < tt.urgentServed {
					t.Errorf("urgent served: got %.4f, want at least %.4f", got, tt.urgentServed)
				}
				for _, r := range mustardramp.Ranks() {
					got := c.ranks[r].work.Seconds() / (slots * c.until.Sub(c.from).Seconds())
					t.Logf("%s: %.3f of the slot time, %d of %d served", r, got, c.ranks[r].served, c.ranks[r].offered)
					if got < tt.least[r] {
						t.Errorf("%s: got %.3f of the slot time, want its share of %.2f", r, got, tt.least[r])
					}
				}
			})
		})
	}
}
