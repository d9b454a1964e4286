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

// TestNextKeeperStartsWithTheBeliefs has the keeper learn that one of two
// backends fails, and then vanish: the next keeper must not have to learn it.
func TestNextKeeperStartsWithTheBeliefs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 4), standing(2, kolA, 4))
		defer net.close()
		p, keeper := asker(net)
		ill := mustardramp.BackendID("")
		for range 12 {
			slot, err := p.Acquire(t.Context(), bulk())
			if err != nil {
				t.Fatal(err)
			}
			if ill == "" {
				ill = slot.Backend().ID
			}
			result := mustardramp.ResultGood
			if slot.Backend().ID == ill {
				result = mustardramp.ResultError
			}
			time.Sleep(10 * time.Millisecond)
			slot.Release(result, 10*time.Millisecond)
			time.Sleep(5 * time.Millisecond)
		}
		net.pools[keeper].Step(t.Context())
		next := net.pools[p.plan.Load().groups[0].keepers[1]]
		net.sever(keeper)
		for range 4 {
			slot, err := p.Acquire(t.Context(), bulk())
			if err != nil {
				t.Fatal(err)
			}
			if slot.Backend().ID == ill {
				t.Errorf("got the ill backend from the next keeper %s, want the other", next.config.Holder.Host)
			}
			slot.Release(mustardramp.ResultGood, time.Millisecond)
		}
	})
}

// TestFurtherAttemptsAreBoundedForAllHosts asks for a further attempt after each
// request, through many hosts, for twenty seconds: no more than the share are
// granted, and at least half of it, although no host sees enough requests to
// earn one by itself in a second.
func TestFurtherAttemptsAreBoundedForAllHosts(t *testing.T) {
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
			for _, repeat := range []bool{false, true} {
				d := bulk()
				d.Repeat = repeat
				slot, err := p.Acquire(t.Context(), d)
				if err != nil {
					continue
				}
				if repeat {
					allowed++
				}
				slot.Release(mustardramp.ResultGood, time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if most := requests / 5; allowed > most || allowed < most/2 {
			t.Errorf("got %d further attempts of %d requests, want %d to %d", allowed, requests, most/2, most)
		}
	})
}

// TestFrozenKeeperIsPassedOver asks a keeper that takes the connection and says
// nothing more: the ask must end long before the wait of its rank.
func TestFrozenKeeperIsPassedOver(t *testing.T) {
	frozen := func() link.Caller { return silentCaller{} }
	var p pulse
	ctx, end := context.WithCancelCause(t.Context())
	defer end(nil)
	var group errgroup.Group
	group.Go(func() error {
		p.watch(ctx, frozen(), end)
		return nil
	})
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("got no end of the ask, want one")
	}
	if !errors.Is(context.Cause(ctx), errDown) {
		t.Errorf("got %v, want %v", context.Cause(ctx), errDown)
	}
	_ = group.Wait()
}

// TestBusyKeeperIsWaitedFor has a keeper in whose queue the ask waits.
func TestBusyKeeperIsWaitedFor(t *testing.T) {
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
		time.Sleep(5 * pulsePause)
		held.Release(mustardramp.ResultGood, time.Millisecond)
		return nil
	})
	id := keeper.plan.Load().groups[0].id
	grant, err := network.Ask(t.Context(), "keeper", Ask{Service: "patha", Group: id, Holder: Holder{Host: "asker"}, Number: 1, Rank: mustardramp.Bulk})
	if err != nil || grant.Denial != nil {
		t.Errorf("got %+v, %v, want the slot once it is free", grant, err)
	}
	_ = group.Wait()
}

// TestSlowKeeperIsNotLost replays the load of a grown fleet: the keeper's link
// is busy with uploads, and each answer takes 250 ms. The ask waits on.
func TestSlowKeeperIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pulse
		ctx, end := context.WithCancelCause(t.Context())
		var group errgroup.Group
		group.Go(func() error {
			p.watch(ctx, slowCaller(250*time.Millisecond), end)
			return nil
		})
		time.Sleep(10 * time.Second)
		if err := context.Cause(ctx); err != nil {
			t.Errorf("got %v, want an ask that waits", err)
		}
		end(nil)
		_ = group.Wait()
	})
}

// slowCaller answers after a time.
type slowCaller time.Duration

// Invoke implements link.Caller.
func (c slowCaller) Invoke(ctx context.Context, _ string, _ json.RawMessage) (json.RawMessage, error) {
	select {
	case <-time.After(time.Duration(c)):
		return json.RawMessage(`"oA=="`), nil
	case <-ctx.Done():
		return nil, link.ErrLost.Wrap(ctx.Err())
	}
}

// silentCaller never answers.
type silentCaller struct{}

// Invoke implements link.Caller.
func (silentCaller) Invoke(ctx context.Context, _ string, _ json.RawMessage) (json.RawMessage, error) {
	<-ctx.Done()
	return nil, link.ErrLost.Wrap(ctx.Err())
}

// serveLink serves calls on a port of its own until the test ends.
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
