package lease

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestRequestCountsOnceInRetryBudget guards against a retry budget that is too
// large because a request counts at each keeper that it asks for a slot. A request
// asks several keepers when all backends of two regions fail or when a dial fails.
func TestRequestCountsOnceInRetryBudget(t *testing.T) {
	for name, result := range map[string]mustardramp.Result{
		"all backends fail": mustardramp.ResultError,
		"a dial fails":      mustardramp.ResultDial,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { countRequests(t, result) })
		})
	}
}

// countRequests sends requests whose attempts end with the result, and checks that
// the keepers together count each request once.
func countRequests(t *testing.T, result mustardramp.Result) {
	net := newNetwork(8,
		standing(1, kolA, 10), standing(2, kolA, 10), standing(3, kolB, 10),
		standing(4, silA, 10), standing(5, silA, 10), standing(6, silA, 10))
	defer net.close()
	settings := terms()
	settings.Pooled = true
	for _, p := range net.pools {
		p.Configure(settings)
	}
	const requests = 100
	for i := range requests {
		p := net.pools[net.hosts[i%len(net.hosts)].Name]
		d := bulk()
		for range 2 {
			slot, err := p.Acquire(t.Context(), d)
			if err != nil {
				break
			}
			d.Tried = append(d.Tried, slot.Backend().ID)
			d.IsFurtherAttempt = result != mustardramp.ResultDial
			slot.Release(result, time.Millisecond)
		}
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(time.Second)
	counted := 0
	for _, p := range net.pools {
		for _, l := range p.allLessors() {
			// The budget allows no retry, so that Allow returns the usage.
			usage, _ := l.window.Allow(time.Now())
			counted += usage.Requests
		}
	}
	if counted != requests {
		t.Errorf("got %d requests counted, want %d", counted, requests)
	}
}

// retryingClient sends requests that every backend sheds, and retries each as often
// as the budget allows, at most twice.
type retryingClient struct {
	t                 *testing.T
	pool              *Pool
	requests, retries int
}

func (s *retryingClient) run(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.requests++
		d := bulk()
		for range 3 {
			slot, err := s.pool.Acquire(s.t.Context(), d)
			if err != nil {
				break
			}
			if d.IsFurtherAttempt {
				s.retries++
			}
			d.IsFurtherAttempt, d.Tried = true, append(d.Tried, slot.Backend().ID)
			slot.Release(mustardramp.ResultShed, time.Millisecond)
		}
	}
}

// TestRetryBudgetSurvivesKeeperChange guards against a keeper that starts with an
// unused retry budget when it takes over a group. The first keeper is lost after
// the budget was exhausted, and later restarts without its state.
func TestRetryBudgetSurvivesKeeperChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standings := []mustardramp.Standing{standing(1, kolA, 100), standing(2, kolA, 100)}
		net := newNetwork(6, standings...)
		defer net.close()
		const slack = 50
		settings := terms()
		settings.Pooled, settings.Budget = true, 20
		configure := func(p *Pool) {
			p.config.Slack = slack
			p.Configure(settings)
		}
		for _, p := range net.pools {
			configure(p)
		}
		p, keeper := poolWithRemoteKeeper(net)
		s := &retryingClient{t: t, pool: p}
		check := func(when string) {
			if most := s.requests/5 + slack; s.retries > most || s.retries < most/2 {
				t.Errorf("%s: got %d retries of %d requests, want %d to %d", when, s.retries, s.requests, most/2, most)
			}
		}
		s.run(3 * time.Second)
		check("at the first keeper")

		net.pools[keeper].Step(t.Context())
		net.isolate(keeper)
		left := slices.DeleteFunc(slices.Clone(net.hosts), func(h Host) bool { return h.Name == keeper })
		for _, h := range left {
			net.pools[h.Name].SetHosts(left)
		}
		s.run(3 * time.Second)
		check("at the next keeper")

		net.restart(keeper, standings)
		configure(net.pools[keeper])
		for _, h := range net.hosts {
			net.pools[h.Name].SetHosts(net.hosts)
		}
		for _, h := range net.hosts {
			net.pools[h.Name].Step(t.Context())
		}
		s.run(3 * time.Second)
		check("at the restarted first keeper")
	})
}
