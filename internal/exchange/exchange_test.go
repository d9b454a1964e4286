package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeLog is a log that confirms unless it is isolated.
type fakeLog struct {
	isolated atomic.Bool
}

func (*fakeLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("no proposals")
}

func (l *fakeLog) Confirm(context.Context) error {
	if l.isolated.Load() {
		return errors.New("no quorum")
	}
	return nil
}

// startHost runs a host on loopback until the returned function is called or the
// test ends.
func startHost(t testing.TB, o Options) (*Exchange, func()) {
	t.Helper()
	return startServer(t, &link.Server{}, o)
}

func startServer(t testing.TB, server *link.Server, o Options) (*Exchange, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Self.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = 1
	}
	e := New(&server.Router, o)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error { return e.Run(ctx) })
	stop := func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("run: got %v", err)
		}
	}
	t.Cleanup(stop)
	return e, stop
}

// waitFor waits until a condition holds, and fails the test after a minute.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s after a minute", what)
		}
	}
}

func newHost(i int, role membership.Role) membership.Host {
	return membership.Host{Name: hostName(i), Role: role, Place: zones[i%len(zones)]}
}

func TestExchangeOverLinks(t *testing.T) {
	log := &fakeLog{}
	control, _ := startHost(t, Options{Self: newHost(0, membership.Control), Log: log})
	control.Offer(change("patha", 5, 2000))
	seeds := []netip.AddrPort{control.options.Self.Address}
	hosts := []*Exchange{control}
	for i := 1; i <= 6; i++ {
		e, _ := startHost(t, Options{Self: newHost(i, membership.Entry), Seeds: seeds})
		hosts = append(hosts, e)
	}
	waitFor(t, "ready hosts", func() bool {
		for _, e := range hosts {
			if !e.Ready() || len(e.Members()) != len(hosts)-1 {
				return false
			}
		}
		return true
	})
	for i, e := range hosts {
		if got, want := e.State().Newest, mustardramp.Index(5); got != want {
			t.Errorf("%s is ready with change %d, want %d", hostName(i), got, want)
		}
	}

	var seen atomic.Uint64
	hosts[3].Watch(mustardramp.RecordChange, func(r mustardramp.Record) {
		if old := seen.Swap(r.Version.Epoch); old > r.Version.Epoch {
			t.Errorf("got change %d after %d", r.Version.Epoch, old)
		}
	})
	if got := seen.Load(); got != 5 {
		t.Errorf("got change %d at once, want 5", got)
	}
	control.Offer(change("patha", 6, 2000))
	waitFor(t, "new change at a watcher", func() bool { return seen.Load() == 6 })
	crossRegion := mustardramp.Bytes(0)
	for _, e := range hosts {
		crossRegion += e.Usage()[mustardramp.AcrossRegions].Sent
	}
	if crossRegion == 0 {
		t.Error("got no bytes across regions, want some")
	}
}

// TestIsolatedControlHostMakesNoHostReady guards against hosts that serve an old
// configuration: a control host without a quorum must make no host ready.
func TestIsolatedControlHostMakesNoHostReady(t *testing.T) {
	log := &fakeLog{}
	log.isolated.Store(true)
	control, _ := startHost(t, Options{Self: newHost(0, membership.Control), Log: log})
	control.Offer(change("patha", 5, 200))
	seeds := []netip.AddrPort{control.options.Self.Address}
	var hosts []*Exchange
	for i := 1; i <= 4; i++ {
		e, _ := startHost(t, Options{Self: newHost(i, membership.Entry), Seeds: seeds})
		hosts = append(hosts, e)
	}
	for _, e := range hosts {
		waitFor(t, "old change", func() bool { return e.State().Newest == 5 })
		if e.Ready() {
			t.Error("got a ready host, want none before a quorum read")
		}
	}
	log.isolated.Store(false)
	for _, e := range hosts {
		waitFor(t, "ready host", e.Ready)
	}
}

func TestWatcherCanOfferRecords(t *testing.T) {
	e, _ := startHost(t, Options{Self: newHost(0, membership.Entry)})
	var count atomic.Int64
	e.Watch(mustardramp.RecordBackend, func(r mustardramp.Record) {
		if n := count.Add(1); n < 10 {
			r.Version.Sequence++
			e.Offer(r)
		}
	})
	e.Offer(mustardramp.Record{Kind: mustardramp.RecordBackend, Key: fmt.Sprint("b"), Version: mustardramp.Version{Epoch: 1}})
	waitFor(t, "ten calls", func() bool { return count.Load() == 10 })
}
