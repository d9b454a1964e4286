package pool

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var (
	kolA = mustardramp.Place{Zone: "kol-a", Region: "kolkata"}
	kolB = mustardramp.Place{Zone: "kol-b", Region: "kolkata"}
	silA = mustardramp.Place{Zone: "sil-a", Region: "siliguri"}

	start = time.Unix(1_000_000, 0)
)

func serving(n int, place mustardramp.Place, slots mustardramp.Slots) mustardramp.Standing {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n))
	return mustardramp.Standing{
		Backend: mustardramp.Backend{
			ID:      mustardramp.BackendID(fmt.Sprintf("patha/%s", address)),
			Service: "patha", Address: address, Place: place,
			Slots: slots, Connections: 400, State: mustardramp.Serving, Incarnation: 1,
		},
		Weight: 1,
	}
}

func terms() Terms {
	return Terms{Service: "patha", Ranks: [mustardramp.RankCount]contract.RankTerms{
		{Wait: time.Second},
		{Wait: 2 * time.Second, Share: 30},
		{Wait: 10 * time.Second, Share: 15},
	}}
}

func newCore(standings ...mustardramp.Standing) *Core {
	c := NewCore(Config{Terms: terms(), Place: kolA, Seed: 1})
	c.Update(start, standings)
	return c
}

func demand(rank mustardramp.Rank) mustardramp.Demand {
	return mustardramp.Demand{Rank: rank, Caller: "clerk", Deadline: start.Add(time.Minute), Idempotent: true}
}

func TestOfferDenies(t *testing.T) {
	ejected := serving(1, kolA, 1)
	ejected.Ejected = true
	one := serving(1, kolA, 1)
	tests := map[string]struct {
		standings []mustardramp.Standing
		demand    func(*mustardramp.Demand)
		want      mustardramp.RefusalKind
	}{
		"no backend":    {want: mustardramp.KindNoBackend},
		"all ejected":   {standings: []mustardramp.Standing{ejected}, want: mustardramp.KindNoBackend},
		"all tried":     {standings: []mustardramp.Standing{one}, demand: func(d *mustardramp.Demand) { d.Tried = []mustardramp.BackendID{one.Backend.ID} }, want: mustardramp.KindNoBackend},
		"past deadline": {standings: []mustardramp.Standing{one}, demand: func(d *mustardramp.Demand) { d.Deadline = start }, want: mustardramp.KindDeadline},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore(tt.standings...)
			d := demand(mustardramp.Normal)
			if tt.demand != nil {
				tt.demand(&d)
			}
			lease, ticket, denial := c.Offer(start, d)
			if lease.Valid() || ticket != nil || denial == nil {
				t.Fatalf("got lease %v, ticket %v, denial %v, want a denial", lease, ticket, denial)
			}
			if denial.Kind != tt.want {
				t.Errorf("got %s, want %s", denial.Kind, tt.want)
			}
			if denial.Reason == "" {
				t.Error("got no reason")
			}
		})
	}
}

func TestOfferPrefersNearBackends(t *testing.T) {
	c := newCore(serving(1, silA, 1), serving(2, kolB, 1), serving(3, kolA, 1))
	for _, want := range []mustardramp.Place{kolA, kolB} {
		lease, _, _ := c.Offer(start, demand(mustardramp.Normal))
		if !lease.Valid() || lease.Backend().Place != want {
			t.Fatalf("got %v, want a backend in %v", lease, want)
		}
	}
}

func TestUrgentOvertakesBulk(t *testing.T) {
	c := newCore(serving(1, kolA, 1))
	held, _, _ := c.Offer(start, demand(mustardramp.Bulk))
	_, bulk, _ := c.Offer(start, demand(mustardramp.Bulk))
	_, urgent, _ := c.Offer(start, demand(mustardramp.Urgent))
	c.Finish(start.Add(time.Millisecond), held, mustardramp.ResultSuccess, time.Millisecond)
	if lease, _, _ := c.Settled(urgent); !lease.Valid() {
		t.Error("the urgent request waits, want it served")
	}
	if _, _, settled := c.Settled(bulk); settled {
		t.Error("the bulk request is settled, want it waiting")
	}
}

func TestOfferDeniesRequestThatWouldMissDeadline(t *testing.T) {
	c := newCore(serving(1, kolA, 1))
	lease, _, _ := c.Offer(start, demand(mustardramp.Normal))
	now := start.Add(time.Second)
	c.Finish(now, lease, mustardramp.ResultSuccess, time.Second)
	if lease, _, _ = c.Offer(now, demand(mustardramp.Normal)); !lease.Valid() {
		t.Fatal("got no lease of a free slot")
	}
	var denial *mustardramp.Denial
	for range 10 {
		if _, _, denial = c.Offer(now, demand(mustardramp.Normal)); denial != nil {
			break
		}
	}
	if denial == nil || denial.Kind != mustardramp.KindDeadline {
		t.Fatalf("got %v, want a denial for the deadline", denial)
	}
	if denial.RetryAfter <= 0 {
		t.Error("got no time after which to retry")
	}
}

func TestShedHoldsBackendAndLowersLimit(t *testing.T) {
	c := newCore(serving(1, kolA, 4))
	for range 3 {
		c.Offer(start, demand(mustardramp.Normal))
	}
	lease, _, _ := c.Offer(start, demand(mustardramp.Normal))
	c.Finish(start, lease, mustardramp.ResultShed, time.Millisecond)
	if got := lease.member.maxInFlight(); got >= 4 || got < 1 {
		t.Errorf("got limit %d after a shed, want 1 to 3", got)
	}
	if lease.member.hasRoom(start.UnixNano()) {
		t.Error("the backend has room just after it shed, want a hold")
	}
}

func TestLeavingBackendGetsNoAttempts(t *testing.T) {
	s := serving(1, kolA, 2)
	c := newCore(s)
	lease, _, _ := c.Offer(start, demand(mustardramp.Normal))
	c.Finish(start, lease, mustardramp.ResultLeaving, time.Millisecond)
	c.Update(start, []mustardramp.Standing{s})
	if _, _, denial := c.Offer(start, demand(mustardramp.Normal)); denial == nil {
		t.Error("got no denial after the only backend announced that it is leaving")
	}
	s.Backend.Incarnation++
	c.Update(start, []mustardramp.Standing{s})
	if lease, _, _ := c.Offer(start, demand(mustardramp.Normal)); !lease.Valid() {
		t.Error("got no lease at the backend's next incarnation")
	}
}

func TestEjectionKeepsInFlightCount(t *testing.T) {
	s := serving(1, kolA, 1)
	c := newCore(s)
	lease, _, _ := c.Offer(start, demand(mustardramp.Normal))
	ejected := s
	ejected.Ejected = true
	c.Update(start, []mustardramp.Standing{ejected})
	c.Update(start, []mustardramp.Standing{s})
	if again, _, _ := c.Offer(start, demand(mustardramp.Normal)); again.Valid() {
		t.Error("got a second lease of the only slot")
	}
	c.Finish(start, lease, mustardramp.ResultSuccess, time.Millisecond)
}

func TestTrialTakesOnlyBulkIdempotent(t *testing.T) {
	trial := serving(1, kolA, 6)
	trial.Ejected, trial.Trial = true, true
	c := newCore(trial, serving(2, kolA, 6))
	for range 1000 {
		for _, d := range []mustardramp.Demand{demand(mustardramp.Normal), {Rank: mustardramp.Bulk, Deadline: start.Add(time.Minute)}} {
			lease, _, _ := c.Offer(start, d)
			if lease.Backend().ID == trial.Backend.ID {
				t.Fatalf("a backend on trial got work of rank %s, idempotent %v", d.Rank, d.Idempotent)
			}
			c.Finish(start, lease, mustardramp.ResultSuccess, time.Millisecond)
		}
	}
	seen := 0
	for range 1000 {
		lease, _, _ := c.Offer(start, demand(mustardramp.Bulk))
		if lease.Backend().ID == trial.Backend.ID {
			seen++
		}
		c.Finish(start, lease, mustardramp.ResultSuccess, time.Millisecond)
	}
	if seen == 0 || seen > 150 {
		t.Errorf("got %d of 1000 attempts at the backend on trial, want 1 to 150", seen)
	}
}

func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Terms: terms(), Place: kolA})
		p.Update([]mustardramp.Standing{serving(1, kolA, 1)})
		d := mustardramp.Demand{Rank: mustardramp.Normal, Caller: "clerk"}
		slot, err := p.Acquire(t.Context(), d)
		if err != nil {
			t.Fatal(err)
		}
		var group errgroup.Group
		group.Go(func() error {
			time.Sleep(500 * time.Millisecond)
			slot.Release(mustardramp.ResultSuccess, 500*time.Millisecond)
			return nil
		})
		before := time.Now()
		second, err := p.Acquire(t.Context(), d)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := time.Since(before), 500*time.Millisecond; got != want {
			t.Errorf("got a wait of %s, want %s", got, want)
		}
		_, err = p.Acquire(t.Context(), d)
		var denial *mustardramp.Denial
		if !errors.As(err, &denial) || denial.Kind != mustardramp.KindDeadline {
			t.Errorf("got %v, want a denial for the deadline", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err = p.Acquire(ctx, d); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the context's error", err)
		}
		second.Release(mustardramp.ResultSuccess, time.Millisecond)
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestAcquireAfterHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Terms: terms(), Place: kolA})
		p.Update([]mustardramp.Standing{serving(1, kolA, 2)})
		d := mustardramp.Demand{Rank: mustardramp.Normal, Caller: "clerk"}
		slot, err := p.Acquire(t.Context(), d)
		if err != nil {
			t.Fatal(err)
		}
		slot.Release(mustardramp.ResultShed, time.Millisecond)
		if _, err = p.Acquire(t.Context(), d); err != nil {
			t.Fatalf("got %v, want a slot when the hold ends", err)
		}
	})
}

// TestAcquireUnderContention checks that no more attempts are in flight than
// slots, and that every waiting request is served.
func TestAcquireUnderContention(t *testing.T) {
	const workers, rounds = 32, 200
	p := New(Config{Terms: Terms{Capacity: workers, Ranks: [3]contract.RankTerms{{Wait: time.Minute}, {Wait: time.Minute}, {Wait: time.Minute}}}, Place: kolA})
	p.Update([]mustardramp.Standing{serving(1, kolA, 3), serving(2, kolA, 2)})
	var group errgroup.Group
	for w := range workers {
		group.Go(func() error {
			for range rounds {
				slot, err := p.Acquire(context.Background(), mustardramp.Demand{Rank: mustardramp.Rank(w % 3), Caller: "clerk"})
				if err != nil {
					return err
				}
				slot.Release(mustardramp.ResultSuccess, 0)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	p.core.view.Load().each(func(m *member) {
		if got := m.inFlight.Load(); got != 0 {
			t.Errorf("got %d in flight at the end, want 0", got)
		}
	})
	if got := p.core.queued.Load(); got != 0 {
		t.Errorf("got %d queued at the end, want 0", got)
	}
}

// TestFastFailingBackendDrawsNoExtraWork guards against a backend that fails at
// once, looks idle and attracts more than its part of the attempts.
func TestFastFailingBackendDrawsNoExtraWork(t *testing.T) {
	for _, load := range []float64{0.2, 0.5, 0.8} {
		f := newFleet(fleetSize{hosts: 40, backends: 9, slots: 6}, *seed)
		f.backends[0].Dead = true
		f.from, f.until = 2*time.Second, 8*time.Second
		f.load(leases(f), mustardramp.Normal, load*f.capacity(), 0, f.until, 10*time.Second)
		f.run()
		if got, want := float64(f.failures)/float64(f.attempts), 1.0/9; got > want {
			t.Errorf("load %.1f: got %.3f of the attempts at the failing backend, want at most %.3f", load, got, want)
		}
	}
}
