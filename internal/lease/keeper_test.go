package lease

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/pool"
)

// TestNextKeeperStartsWithRiskEstimates guards against a next keeper that sends requests to
// a failing backend again after the first keeper, which observed the failures, is
// lost.
func TestNextKeeperStartsWithRiskEstimates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 4), standing(2, kolA, 4))
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		failing := mustardramp.BackendID("")
		for range 12 {
			slot, err := p.Acquire(t.Context(), bulk())
			if err != nil {
				t.Fatal(err)
			}
			if failing == "" {
				failing = slot.Backend().ID
			}
			result := mustardramp.ResultSuccess
			if slot.Backend().ID == failing {
				result = mustardramp.ResultError
			}
			time.Sleep(10 * time.Millisecond)
			slot.Release(result, 10*time.Millisecond)
			time.Sleep(5 * time.Millisecond)
		}
		net.pools[keeper].Step(t.Context())
		next := net.pools[p.plan.Load().groups[0].keepers[1]]
		net.isolate(keeper)
		for range 4 {
			slot, err := p.Acquire(t.Context(), bulk())
			if err != nil {
				t.Fatal(err)
			}
			if slot.Backend().ID == failing {
				t.Errorf("got the failing backend from the next keeper %s, want the other", next.config.Holder.Host)
			}
			slot.Release(mustardramp.ResultSuccess, time.Millisecond)
		}
	})
}

// TestRetriesAreLimitedAcrossHosts retries each request, through many hosts, for
// twenty seconds. The keeper must grant no more retries than the budget allows and
// at least half of them, although no single host sees enough requests in a second
// to earn a retry.
func TestRetriesAreLimitedAcrossHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8, standing(1, kolA, 100))
		defer net.close()
		settings := terms()
		settings.Pooled, settings.Budget = true, 20
		for _, p := range net.pools {
			p.Configure(settings)
		}
		const requests = 200
		allowed := 0
		for i := range requests {
			p := net.pools[net.hosts[i%len(net.hosts)].Name]
			for _, isFurtherAttempt := range []bool{false, true} {
				d := bulk()
				d.IsFurtherAttempt = isFurtherAttempt
				slot, err := p.Acquire(t.Context(), d)
				if err != nil {
					continue
				}
				if isFurtherAttempt {
					allowed++
				}
				slot.Release(mustardramp.ResultSuccess, time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if most := requests / 5; allowed > most || allowed < most/2 {
			t.Errorf("got %d retries of %d requests, want %d to %d", allowed, requests, most/2, most)
		}
	})
}

// TestFrozenKeeperIsDetected checks that a request is canceled, long before the
// longest wait of its rank, at a keeper that accepts the connection but never
// answers.
func TestFrozenKeeperIsDetected(t *testing.T) {
	frozen := func() link.Invoker { return silentInvoker{} }
	var p liveness
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	var group errgroup.Group
	group.Go(func() error {
		p.watch(ctx, frozen(), cancel)
		return nil
	})
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("got no end of the request, want one")
	}
	if !errors.Is(context.Cause(ctx), errKeeperDown) {
		t.Errorf("got %v, want %v", context.Cause(ctx), errKeeperDown)
	}
	_ = group.Wait()
}

// TestRequestWaitsInQueueOfKeeper checks that a request is not canceled while it
// waits in the queue of a keeper that answers probes.
func TestRequestWaitsInQueueOfKeeper(t *testing.T) {
	var server link.Server
	waiting := pool.Config{Terms: terms(), Place: kolA}
	keeper := New(Config{Pool: waiting, Holder: Holder{Host: "keeper"}})
	keeper.SetHosts([]Host{{Name: "keeper", Place: kolA}})
	keeper.Update([]mustardramp.Standing{standing(1, kolA, 1)})
	Serve(&server.Router, func(mustardramp.ServiceName) *Pool { return keeper })
	address := serveLink(t, &server)
	network := &Network{Find: func(mustardramp.HostName) (netip.AddrPort, bool) { return address, true }}
	defer network.Close()
	held, err := keeper.Acquire(t.Context(), bulk())
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(5 * probeInterval)
		held.Release(mustardramp.ResultSuccess, time.Millisecond)
		return nil
	})
	id := keeper.plan.Load().groups[0].id
	response, err := network.Request(t.Context(), "keeper", Request{Service: "patha", Group: id, Holder: Holder{Host: "asker"}, Number: 1, Rank: mustardramp.Bulk})
	if err != nil || response.Denial != nil {
		t.Errorf("got %+v, %v, want the slot once it is free", response, err)
	}
	_ = group.Wait()
}

// TestSlowKeeperIsNotLost checks that a request keeps waiting at a keeper that
// answers each probe after 250 ms, as happens when uploads fill the keeper's link.
func TestSlowKeeperIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p liveness
		ctx, cancel := context.WithCancelCause(t.Context())
		var group errgroup.Group
		group.Go(func() error {
			p.watch(ctx, slowInvoker(250*time.Millisecond), cancel)
			return nil
		})
		time.Sleep(10 * time.Second)
		if err := context.Cause(ctx); err != nil {
			t.Errorf("got %v, want a request that waits", err)
		}
		cancel(nil)
		_ = group.Wait()
	})
}

// slowInvoker answers each call after its duration.
type slowInvoker time.Duration

// Invoke implements link.Invoker.
func (c slowInvoker) Invoke(ctx context.Context, _ string, _ json.RawMessage) (json.RawMessage, error) {
	select {
	case <-time.After(time.Duration(c)):
		return json.RawMessage(`"oA=="`), nil
	case <-ctx.Done():
		return nil, link.ErrLost.Wrap(ctx.Err())
	}
}

// silentInvoker never answers.
type silentInvoker struct{}

// Invoke implements link.Invoker.
func (silentInvoker) Invoke(ctx context.Context, _ string, _ json.RawMessage) (json.RawMessage, error) {
	<-ctx.Done()
	return nil, link.ErrLost.Wrap(ctx.Err())
}

// serveLink serves calls on a free port until the test ends and returns the
// address.
func serveLink(t testing.TB, server *link.Server) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
