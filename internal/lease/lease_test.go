package lease

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
	_ "github.com/mustardramp/mustardramp/internal/rapidseed"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var (
	kolA = mustardramp.Place{Zone: "kol-a", Region: "kolkata"}
	kolB = mustardramp.Place{Zone: "kol-b", Region: "kolkata"}
	silA = mustardramp.Place{Zone: "sil-a", Region: "siliguri"}
)

var errIsolated = errors.New("the host is isolated")

// network connects pools in memory and implements Peers. A call takes one
// millisecond each way.
type network struct {
	mu    sync.Mutex
	pools map[mustardramp.HostName]*Pool
	hosts []Host
	// isolated holds the hosts whose calls fail in both directions.
	isolated map[mustardramp.HostName]bool
	// age delays what grants state about the load of a group.
	age time.Duration
	// stated holds, by group, the statements that are not older than age.
	stated map[GroupID][]statedLoad
}

func (n *network) find(host, from mustardramp.HostName) (*Pool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[host] || n.isolated[from] {
		return nil, errIsolated
	}
	return n.pools[host], nil
}

func (n *network) Request(ctx context.Context, host mustardramp.HostName, request Request) (Response, error) {
	time.Sleep(time.Millisecond)
	p, err := n.find(host, request.Holder.Host)
	if err != nil {
		return Response{}, err
	}
	response, err := p.Grant(ctx, request)
	if n.age > 0 && err == nil {
		n.ageStatement(request.Group, &response)
	}
	time.Sleep(time.Millisecond)
	return response, err
}

// statedLoad is what a grant stated about the load of its group.
type statedLoad struct {
	at   time.Time
	wait time.Duration
	free *int32
}

// ageStatement replaces what a response states about the load of the group by the
// latest statement that is at least age old.
func (n *network) ageStatement(id GroupID, response *Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stated == nil {
		n.stated = map[GroupID][]statedLoad{}
	}
	now := time.Now()
	all := append(n.stated[id], statedLoad{at: now, wait: response.Wait, free: response.Free})
	for len(all) > 1 && now.Sub(all[1].at) >= n.age {
		all = all[1:]
	}
	n.stated[id] = all
	response.Wait, response.Free = all[0].wait, all[0].free
}

func (n *network) Report(_ context.Context, host mustardramp.HostName, report Report) error {
	time.Sleep(time.Millisecond)
	p, err := n.find(host, report.Holder.Host)
	if err != nil {
		return err
	}
	p.ApplyReport(report)
	return nil
}

func (n *network) HandOver(_ context.Context, host mustardramp.HostName, handover Handover) error {
	n.mu.Lock()
	p := n.pools[host]
	n.mu.Unlock()
	if p != nil {
		p.Adopt(handover)
	}
	return nil
}

// isolate makes all calls to and from a host fail.
func (n *network) isolate(host mustardramp.HostName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = true
}

func terms() pool.Terms {
	return pool.Terms{Service: "patha", Ranks: [mustardramp.RankCount]contract.RankTerms{
		{Wait: time.Second}, {Wait: 2 * time.Second, Share: 30}, {Wait: 10 * time.Second, Share: 15},
	}}
}

func standing(n int, place mustardramp.Place, slots mustardramp.Slots) mustardramp.Standing {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n))
	return mustardramp.Standing{Weight: 1, Backend: mustardramp.Backend{
		ID: mustardramp.BackendID("patha/" + address.String()), Service: "patha", Address: address,
		Place: place, Slots: slots, State: mustardramp.Serving, Incarnation: 1,
	}}
}

// newNetwork starts a pool on each of n hosts, which alternate between the zones of
// Kolkata.
func newNetwork(n int, standings ...mustardramp.Standing) *network {
	net := &network{pools: map[mustardramp.HostName]*Pool{}, isolated: map[mustardramp.HostName]bool{}}
	places := []mustardramp.Place{kolA, kolB}
	for i := range n {
		net.hosts = append(net.hosts, Host{Name: mustardramp.HostName(fmt.Sprint("host-", i)), Place: places[i%2]})
	}
	for _, h := range net.hosts {
		net.start(h, 1, standings)
	}
	return net
}

// start creates the pool of a host.
func (n *network) start(h Host, incarnation mustardramp.Incarnation, standings []mustardramp.Standing) {
	p := New(Config{
		Pool:   pool.Config{Terms: terms(), Place: h.Place},
		Holder: Holder{Host: h.Name, Incarnation: incarnation}, Peers: n,
	})
	p.SetHosts(n.hosts)
	p.Update(standings)
	n.pools[h.Name] = p
}

// restart reconnects an isolated host with a new pool and incarnation.
func (n *network) restart(host mustardramp.HostName, standings []mustardramp.Standing) {
	n.pools[host].Close()
	for _, h := range n.hosts {
		if h.Name == host {
			n.start(h, 2, standings)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, host)
}

func (n *network) close() {
	for _, p := range n.pools {
		p.Close()
	}
}

func bulk() mustardramp.Demand {
	return mustardramp.Demand{Rank: mustardramp.Bulk, Caller: "clerk", Deadline: time.Now().Add(time.Minute)}
}

// TestSlotsAreNotExceeded checks that concurrent requests through all hosts never
// use more slots of a backend than it has.
func TestSlotsAreNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8, standing(1, kolA, 2), standing(2, kolB, 1))
		defer net.close()
		var mu sync.Mutex
		busy := map[mustardramp.BackendID]int{}
		served := 0
		var group errgroup.Group
		for _, p := range net.pools {
			group.Go(func() error {
				for range 10 {
					slot, err := p.Acquire(t.Context(), bulk())
					if err != nil {
						return err
					}
					b := slot.Backend()
					mu.Lock()
					busy[b.ID]++
					if got, want := busy[b.ID], int(b.Slots); got > want {
						t.Errorf("got %d attempts at %s, want at most %d", got, b.ID, want)
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					mu.Lock()
					busy[b.ID]--
					served++
					mu.Unlock()
					slot.Release(mustardramp.ResultSuccess, 20*time.Millisecond)
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if got, want := served, 80; got != want {
			t.Errorf("got %d served, want %d", got, want)
		}
	})
}

// poolWithRemoteKeeper returns the pool of a host that is not the first keeper of
// the only group, and the name of that keeper.
func poolWithRemoteKeeper(n *network) (*Pool, mustardramp.HostName) {
	for name, p := range n.pools {
		if keeper := p.plan.Load().groups[0].keepers[0]; keeper != name {
			return p, keeper
		}
	}
	return nil, ""
}

func TestUnreachableKeeperIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 1))
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		net.isolate(keeper)
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

func TestIsolatedHostServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 1))
		defer net.close()
		p, _ := poolWithRemoteKeeper(net)
		net.isolate(p.config.Holder.Host)
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

func TestLeaseOfLostHolderExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 1))
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		if _, err := p.Acquire(t.Context(), bulk()); err != nil {
			t.Fatal(err)
		}
		net.isolate(p.config.Holder.Host)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if slot, err := net.pools[keeper].Acquire(ctx, bulk()); err == nil {
			t.Fatalf("got a second lease %v of the only slot", slot)
		}
		time.Sleep(Term + StepInterval)
		net.pools[keeper].Step(t.Context())
		slot, err := net.pools[keeper].Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatalf("got %v, want the slot of the lost holder", err)
		}
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

func TestRenewedLeaseDoesNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 1))
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		for range 3 * Term / StepInterval {
			time.Sleep(StepInterval)
			p.Step(t.Context())
			net.pools[keeper].Step(t.Context())
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := net.pools[keeper].Acquire(ctx, bulk()); err == nil {
			t.Error("got a second lease of the only slot while the first is in use")
		}
		slot.Release(mustardramp.ResultSuccess, time.Minute)
	})
}

func TestCanceledRequestIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 1))
		defer net.close()
		p, _ := poolWithRemoteKeeper(net)
		first, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := p.Acquire(ctx, bulk()); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the context's error", err)
		}
		first.Release(mustardramp.ResultSuccess, time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		slot, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatalf("got %v, want the slot: the second request was withdrawn", err)
		}
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

func TestDenialNamesTheKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 1))
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		first, err := p.Acquire(t.Context(), bulk())
		if err != nil {
			t.Fatal(err)
		}
		d := bulk()
		d.Rank = mustardramp.Urgent
		_, err = p.Acquire(t.Context(), d)
		var denial *mustardramp.Denial
		if !errors.As(err, &denial) || denial.Kind != mustardramp.KindDeadline {
			t.Fatalf("got %v, want a denial for the deadline", err)
		}
		if got := denial.Facts[len(denial.Facts)-1]; got.Name != "keeper" || got.Value != string(keeper) {
			t.Errorf("got fact %v, want keeper=%s", got, keeper)
		}
		first.Release(mustardramp.ResultSuccess, time.Millisecond)
	})
}

func TestLostHostMovesOnlyItsGroups(t *testing.T) {
	var hosts []Host
	for i := range 40 {
		hosts = append(hosts, Host{Name: mustardramp.HostName(fmt.Sprint("host-", i)), Place: []mustardramp.Place{kolA, kolB, silA}[i%3]})
	}
	var standings []mustardramp.Standing
	for i := range 500 {
		standings = append(standings, standing(i, []mustardramp.Place{kolA, kolB, silA}[i%3], 6))
	}
	before := newPlan("patha", standings, NewFleet(hosts), nil, fleetDiff{})
	after := newPlan("patha", standings, NewFleet(hosts[1:]), nil, fleetDiff{})
	for _, g := range before.groups {
		got, was := after.byID[g.id].keepers[0], g.keepers[0]
		if was != hosts[0].Name && got != was {
			t.Errorf("group %v moved from %s to %s, which was not lost", g.id, was, got)
		}
		if len(g.standings) > 2*groupSize {
			t.Errorf("group %v has %d backends, want about %d", g.id, len(g.standings), groupSize)
		}
	}
}

// TestScaleOutMovesFewBackends adds a part to a region, as when backends join. An
// existing backend must stay in its part or move to the new one, and only about as
// many may move as the new part holds.
func TestScaleOutMovesFewBackends(t *testing.T) {
	const before, after, parts = 90, 100, 3
	moved := 0
	for i := range before {
		id := standing(i, kolA, 3).Backend.ID
		was, is := partOf(id, parts), partOf(id, parts+1)
		if was == is {
			continue
		}
		moved++
		if is != parts {
			t.Errorf("got %s moved from part %d to %d, want it to stay or move to part %d", id, was, is, parts)
		}
	}
	if most := 2 * after / (parts + 1); moved > most {
		t.Errorf("got %d of %d backends moved, want at most %d", moved, before, most)
	}
}

func TestPlanFollowsHostsAndBackends(t *testing.T) {
	p := New(Config{Pool: pool.Config{Terms: terms(), Place: kolA}, Holder: Holder{Host: "host-0"}})
	keepers := func() int { return len(p.plan.Load().byID[GroupID{Region: kolA.Region}].keepers) }
	p.Update([]mustardramp.Standing{standing(1, kolA, 1)})
	if got := keepers(); got != 0 {
		t.Errorf("got %d keepers without hosts, want 0", got)
	}
	p.SetHosts([]Host{{Name: "host-0", Place: kolA}})
	if got := keepers(); got != 1 {
		t.Errorf("got %d keepers with one host, want 1", got)
	}
	p.SetHosts([]Host{{Name: "host-1", Place: kolA}, {Name: "host-0", Place: kolA}})
	p.Update([]mustardramp.Standing{standing(1, kolA, 1), standing(2, kolA, 1)})
	if got := keepers(); got != 2 {
		t.Errorf("got %d keepers with two hosts, want 2", got)
	}
}

// TestIncrementalPlanEqualsFullPlan checks, over random changes of the hosts, that
// an incremental plan has the same keepers as a plan made without an old one.
func TestIncrementalPlanEqualsFullPlan(t *testing.T) {
	places := []mustardramp.Place{kolA, kolB, silA}
	var standings []mustardramp.Standing
	for n := range 90 {
		standings = append(standings, standing(n, places[n%3], 6))
	}
	rapid.Check(t, func(t *rapid.T) {
		alive := map[int]mustardramp.Place{}
		var incremental *plan
		before := &Fleet{}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			for range rapid.IntRange(0, 3).Draw(t, "hosts") {
				n := rapid.IntRange(0, 12).Draw(t, "host")
				if _, ok := alive[n]; ok && rapid.Bool().Draw(t, "leaves") {
					delete(alive, n)
					continue
				}
				alive[n] = places[rapid.IntRange(0, 2).Draw(t, "place")]
			}
			var hosts []Host
			for n := range 13 {
				if place, ok := alive[n]; ok {
					hosts = append(hosts, Host{Name: mustardramp.HostName(fmt.Sprintf("host-%02d", n)), Place: place})
				}
			}
			after := NewFleet(hosts)
			incremental = newPlan("patha", standings, after, incremental, after.diffFrom(before))
			full := newPlan("patha", standings, after, nil, fleetDiff{})
			before = after
			for _, g := range full.groups {
				if got, want := incremental.byID[g.id].keepers, g.keepers; !slices.Equal(got, want) {
					t.Fatalf("group %v: got keepers %v, want %v", g.id, got, want)
				}
			}
		}
	})
}
