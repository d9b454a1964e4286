package lease

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// connectOverLinks makes the pools of an in-memory network call each other over
// links on loopback.
func connectOverLinks(t testing.TB, n *network) *Network {
	t.Helper()
	addresses := map[mustardramp.HostName]netip.AddrPort{}
	peers := &Network{Find: func(host mustardramp.HostName) (netip.AddrPort, bool) {
		a, ok := addresses[host]
		return a, ok
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for name, p := range n.pools {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[name] = listener.Addr().(*net.TCPAddr).AddrPort()
		server := &link.Server{Concurrency: Concurrency}
		Serve(&server.Router, func(service mustardramp.ServiceName) *Pool {
			if service != "patha" {
				return nil
			}
			return p
		})
		p.config.Peers = peers
		group.Go(func() error { return server.Serve(ctx, listener) })
	}
	t.Cleanup(func() {
		n.close()
		if err := peers.Close(); err != nil {
			t.Error(err)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return peers
}

func TestLeaseOverLinks(t *testing.T) {
	net := newNetwork(4, standing(1, kolA, 1))
	peers := connectOverLinks(t, net)
	p, keeper := poolWithRemoteKeeper(net)
	slot, err := p.Acquire(t.Context(), bulk())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := slot.Backend().ID, standing(1, kolA, 1).Backend.ID; got != want {
		t.Errorf("got backend %s, want %s", got, want)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := net.pools[keeper].Acquire(ctx, bulk()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the context's error: the slot is leased", err)
	}
	slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	again, err := net.pools[keeper].Acquire(t.Context(), bulk())
	if err != nil {
		t.Fatal(err)
	}
	again.Release(mustardramp.ResultSuccess, time.Millisecond)
	request := p.newRequest(p.plan.Load().groups[0], &mustardramp.Demand{})
	request.Service = "unknown"
	if _, err := peers.Request(t.Context(), keeper, request); err == nil {
		t.Error("got a grant for an unknown service")
	}
}

func TestDenialOverLinks(t *testing.T) {
	ejected := standing(1, kolA, 1)
	ejected.Ejected = true
	net := newNetwork(4, standing(1, kolA, 1))
	connectOverLinks(t, net)
	p, keeper := poolWithRemoteKeeper(net)
	net.pools[keeper].Update([]mustardramp.Standing{ejected})
	_, err := p.Acquire(t.Context(), bulk())
	var denial *mustardramp.Denial
	if !errors.As(err, &denial) || denial.Kind != mustardramp.KindNoBackend || denial.Reason == "" {
		t.Errorf("got %v, want the keeper's denial", err)
	}
}

// TestWaitingRequestsDoNotDelayReports guards against waiting requests that block a
// connection. With as many requests of each rank waiting as one host may have, the
// report that frees the slot must still arrive.
func TestWaitingRequestsDoNotDelayReports(t *testing.T) {
	net := newNetwork(4, standing(1, kolA, 1))
	connectOverLinks(t, net)
	p, _ := poolWithRemoteKeeper(net)
	first, err := p.Acquire(t.Context(), bulk())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var group errgroup.Group
	for range maxWaitingRequests {
		for _, rank := range mustardramp.Ranks() {
			demand := bulk()
			demand.Rank = rank
			group.Go(func() error {
				slot, err := p.Acquire(ctx, demand)
				var denial *mustardramp.Denial
				switch {
				case err == nil:
					slot.Release(mustardramp.ResultSuccess, time.Millisecond)
				case !errors.As(err, &denial):
					return err
				}
				return nil
			})
		}
	}
	time.Sleep(20 * time.Millisecond)
	first.Release(mustardramp.ResultSuccess, time.Millisecond)
	if err := group.Wait(); err != nil {
		t.Errorf("got %v, want a slot or a denial for each request", err)
	}
}

// TestHostDeniesRequestsBeyondLimit checks that a host has at most
// maxWaitingRequests waiting at a keeper and denies further requests itself.
func TestHostDeniesRequestsBeyondLimit(t *testing.T) {
	net := newNetwork(4, standing(1, kolA, 1))
	connectOverLinks(t, net)
	p, keeper := poolWithRemoteKeeper(net)
	first, err := p.Acquire(t.Context(), bulk())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for range maxWaitingRequests {
		group.Go(func() error {
			_, err := p.Acquire(ctx, bulk())
			if !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		})
	}
	known := p.peer(keeper)
	for known.pending(mustardramp.Bulk) < maxWaitingRequests {
		time.Sleep(time.Millisecond)
	}
	_, err = p.Acquire(t.Context(), bulk())
	var denial *mustardramp.Denial
	if !errors.As(err, &denial) || denial.Kind != mustardramp.KindPressure || denial.RetryAfter <= 0 {
		t.Errorf("got %v, want a denial for pressure", err)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	first.Release(mustardramp.ResultSuccess, time.Millisecond)
}

func (p *peer) pending(rank mustardramp.Rank) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[rank]
}

// fixedClock is a clock that always returns the same time.
type fixedClock time.Time

func (s fixedClock) Now() time.Time { return time.Time(s) }

func TestPressureReachesPeers(t *testing.T) {
	net := newNetwork(2, standing(1, kolA, 1))
	connectOverLinks(t, net)
	p, keeper := poolWithRemoteKeeper(net)
	other := net.pools[keeper]
	l := other.lessor(p.plan.Load().groups[0].id)
	// A request that is queued behind a slot that takes a second has a wait.
	held, err := l.pool.Acquire(t.Context(), mustardramp.Demand{Rank: mustardramp.Normal})
	if err != nil {
		t.Fatal(err)
	}
	held.Release(mustardramp.ResultSuccess, time.Second)
	held, err = l.pool.Acquire(t.Context(), mustardramp.Demand{Rank: mustardramp.Normal})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		_, err := l.pool.Acquire(ctx, mustardramp.Demand{Rank: mustardramp.Normal, Caller: "clerk"})
		if !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	for l.pool.ExpectedWait(mustardramp.Normal) == 0 {
		time.Sleep(time.Millisecond)
	}
	other.clock = fixedClock(time.Now())
	records, err := other.Pressure()
	if err != nil || len(records) != 1 {
		t.Fatalf("got %d records and %v, want 1", len(records), err)
	}
	if again, _ := other.Pressure(); len(again) != 0 {
		t.Errorf("got %d records without a change, want 0", len(again))
	}
	if err := p.ApplyPressure(records[0]); err != nil {
		t.Fatal(err)
	}
	if got := p.expectedWait(GroupID{Region: kolA.Region}, mustardramp.Normal, time.Now().UnixNano()); got == 0 {
		t.Error("got no expected wait after the record")
	}
	records[0].Payload = []byte{0xff}
	if err := p.ApplyPressure(records[0]); !ErrPressure.Has(err) {
		t.Errorf("got %v, want an error of class pressure", err)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	held.Release(mustardramp.ResultSuccess, time.Millisecond)
}
