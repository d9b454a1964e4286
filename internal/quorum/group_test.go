package quorum

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
)

// memoryNetwork delivers messages in memory. It loses only those from and to
// isolated hosts.
type memoryNetwork struct {
	mu       sync.Mutex
	groups   map[mustardramp.HostName]*Group
	isolated map[mustardramp.HostName]bool
	// forgotten lists the hosts that members have forgotten.
	forgotten []mustardramp.HostName
}

// memoryTransport is the transport of one host in a memoryNetwork.
type memoryTransport struct {
	network *memoryNetwork
	host    mustardramp.HostName
}

func (t memoryTransport) Send(to mustardramp.HostName, m Message) {
	t.network.mu.Lock()
	g := t.network.groups[to]
	lost := t.network.isolated[to] || t.network.isolated[t.host]
	t.network.mu.Unlock()
	if g != nil && !lost {
		g.Receive(t.host, m)
	}
}

func (t memoryTransport) Forget(host mustardramp.HostName) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.network.forgotten = append(t.network.forgotten, host)
}

func (n *memoryNetwork) setGroup(host mustardramp.HostName, g *Group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[host] = g
}

func (n *memoryNetwork) setIsolated(host mustardramp.HostName, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

// cluster runs the members of a group in goroutines, with fake disks and a network
// in memory.
type cluster struct {
	t        testing.TB
	network  *memoryNetwork
	hosts    []mustardramp.HostName
	disks    map[mustardramp.HostName]disk.Disk
	machines map[mustardramp.HostName]*recordingMachine
	stops    map[mustardramp.HostName]func()
	ctx      context.Context
	tick     time.Duration
	// seeds, if any, are used instead of the list of hosts. isFirstStart is set
	// at the first start of the cluster.
	seeds        []mustardramp.HostName
	isFirstStart bool
}

func newCluster(t testing.TB, size int) *cluster {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	c := &cluster{
		t:        t,
		network:  &memoryNetwork{groups: map[mustardramp.HostName]*Group{}, isolated: map[mustardramp.HostName]bool{}},
		disks:    map[mustardramp.HostName]disk.Disk{},
		machines: map[mustardramp.HostName]*recordingMachine{},
		stops:    map[mustardramp.HostName]func(){},
		ctx:      ctx,
		tick:     2 * time.Millisecond,
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
		cancel()
	})
	for i := range size {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", i+1))
		c.hosts = append(c.hosts, host)
		c.disks[host] = &disk.Fake{}
	}
	return c
}

func (c *cluster) startAll() {
	for _, host := range c.hosts {
		c.start(host)
	}
}

func (c *cluster) config(host mustardramp.HostName) Config {
	c.machines[host] = &recordingMachine{}
	hosts, targetVoters := c.hosts, 0
	if len(c.seeds) > 0 {
		hosts, targetVoters = c.seeds, seededVoters
	}
	return Config{
		Group:        "test",
		Host:         host,
		Hosts:        hosts,
		TargetVoters: targetVoters,
		IsFirstStart: c.isFirstStart,
		Folder:       "data",
		Disk:         c.disks[host],
		Machine:      c.machines[host],
		Transport:    memoryTransport{c.network, host},
		Tick:         c.tick,
	}
}

func (c *cluster) start(host mustardramp.HostName) *Group {
	c.t.Helper()
	g, err := Open(c.config(host))
	if err != nil {
		c.t.Fatal(err)
	}
	c.run(host, g)
	return g
}

func (c *cluster) run(host mustardramp.HostName, g *Group) {
	ctx, cancel := context.WithCancel(c.ctx)
	var work errgroup.Group
	work.Go(func() error { return g.Run(ctx) })
	c.network.setGroup(host, g)
	c.stops[host] = func() {
		cancel()
		if err := work.Wait(); err != nil {
			c.t.Errorf("%s: %v", host, err)
		}
		c.network.setGroup(host, nil)
		delete(c.stops, host)
	}
}

// propose proposes a command until its result is known.
func (c *cluster) propose(host mustardramp.HostName, command string) {
	c.t.Helper()
	for {
		got, err := c.network.groups[host].Propose(c.ctx, []byte(command))
		if err == nil {
			if string(got) != command {
				c.t.Fatalf("got %q, want %q", got, command)
			}
			return
		}
		if !ErrUnknown.Has(err) || c.ctx.Err() != nil {
			c.t.Fatal(err)
		}
	}
}

// wantApplied checks that a host has applied a command, after a confirmed read.
func (c *cluster) wantApplied(host mustardramp.HostName, command string) {
	c.t.Helper()
	if err := c.network.groups[host].Confirm(c.ctx); err != nil {
		c.t.Fatal(err)
	}
	for _, got := range c.machines[host].recorded() {
		if string(got) == command {
			return
		}
	}
	c.t.Errorf("%s: got no %q, want it", host, command)
}

func TestGroupServesFromAnyMember(t *testing.T) {
	for _, size := range []int{1, 3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			c := newCluster(t, size)
			c.startAll()
			for _, host := range c.hosts {
				c.propose(host, "from "+string(host))
			}
			for _, host := range c.hosts {
				c.wantApplied(host, "from host-1")
			}
			for _, stop := range c.stops {
				stop()
			}
		})
	}
}

func TestGroupSurvivesRestarts(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	for i := range 6 {
		host := c.hosts[i%3]
		c.propose(host, fmt.Sprint("before ", i))
		c.stops[host]()
		c.propose(c.hosts[(i+1)%3], fmt.Sprint("during ", i))
		c.start(host)
	}
	c.propose(c.hosts[0], "last")
	for _, host := range c.hosts {
		c.wantApplied(host, "before 0")
		c.wantApplied(host, "during 5")
		c.wantApplied(host, "last")
	}
}

func TestGroupTakesBackAHostThatLostItsDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose(c.hosts[0], "first")
	old := c.network.groups[c.hosts[0]].Status().Self.ID
	c.stops[c.hosts[0]]()
	c.disks[c.hosts[0]] = &disk.Fake{}
	g := c.start(c.hosts[0])
	for !isVoter(g) {
		if err := g.waitTick(c.ctx); err != nil {
			t.Fatal(err)
		}
	}
	c.stops[c.hosts[1]]()
	c.propose(c.hosts[0], "second")
	c.wantApplied(c.hosts[0], "first")
	status := g.Status()
	if _, ok := status.Membership.Member(old); ok || status.Membership.VoterCount() != 3 {
		t.Errorf("got %v, want 3 voters without %d", status.Membership, old)
	}
}

func isVoter(g *Group) bool {
	status := g.Status()
	return status.MembershipCommitted && status.Membership.isVoter(status.Self.ID)
}

func TestIsolatedMemberConfirmsNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose(c.hosts[0], "first")
	c.network.setIsolated(c.hosts[0], true)
	ctx, cancel := context.WithTimeout(c.ctx, 150*time.Millisecond)
	defer cancel()
	if err := c.network.groups[c.hosts[0]].Confirm(ctx); err == nil {
		t.Error("Confirm: got no error on an isolated member, want one")
	}
	ctx, cancel = context.WithTimeout(c.ctx, 150*time.Millisecond)
	defer cancel()
	if _, err := c.network.groups[c.hosts[0]].Propose(ctx, []byte("lost")); !ErrUnknown.Has(err) {
		t.Errorf("Propose: got %v on an isolated member, want an unknown outcome", err)
	}
	c.propose(c.hosts[1], "second")
	c.network.setIsolated(c.hosts[0], false)
	c.wantApplied(c.hosts[0], "second")
}

func TestRemoveAMember(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose(c.hosts[0], "first")
	gone := c.network.groups[c.hosts[2]].Status().Self.ID
	if err := c.network.groups[c.hosts[0]].Remove(c.ctx, gone); err != nil {
		t.Fatal(err)
	}
	c.stops[c.hosts[2]]()
	c.propose(c.hosts[0], "second")
}

func TestFailedSyncStopsTheMember(t *testing.T) {
	c := newCluster(t, 1)
	g, err := Open(c.config(c.hosts[0]))
	if err != nil {
		t.Fatal(err)
	}
	c.disks[c.hosts[0]].(*disk.Fake).Fail = func(operation disk.Operation, _ string) error {
		if operation == disk.OperationSync {
			return errors.New("injected sync failure")
		}
		return nil
	}
	if err := g.Run(c.ctx); err == nil {
		t.Error("Run: got no error after a failed sync, want one")
	}
	if _, err := g.Propose(c.ctx, nil); !ErrStopped.Has(err) {
		t.Errorf("Propose: got %v after a failed sync, want an error of class ErrStopped", err)
	}
}

func TestFolderOfAnotherGroupIsRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.stops[c.hosts[0]]()
	config := c.config(c.hosts[0])
	config.Group = "other"
	if _, err := Open(config); !ErrFolder.Has(err) {
		t.Errorf("Open: got %v, want an error of class ErrFolder", err)
	}
}
