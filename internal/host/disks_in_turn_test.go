package host

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/quorum"
	"github.com/mustardramp/mustardramp/internal/registry"
)

var diskSeeds = flag.Uint64("disk.seeds", 1, "number of seeds of each case of disks that fail in turn")

// Times of a deployment: the answer to a change is due within ackTimeout once no disk
// has failed for contactWindow.
const (
	contactWindow = 3 * time.Second
	ackTimeout    = 4 * time.Second
)

// faultyDisk is a disk that is full for a time, or whose syncs take long.
type faultyDisk struct {
	disk.Fake
	// fails selects the operations that fail while the disk is full.
	fails func(disk.Operation) bool
	full  atomic.Bool
	// delay is how long each sync takes, in nanoseconds.
	delay atomic.Int64
}

func newFaultyDisk(fails func(disk.Operation) bool) *faultyDisk {
	d := &faultyDisk{fails: fails}
	d.Fail = func(op disk.Operation, name string) error {
		if d.full.Load() && d.fails(op) {
			return fmt.Errorf("%s: %w", name, syscall.ENOSPC)
		}
		return nil
	}
	return d
}

// Create implements disk.Disk.
func (d *faultyDisk) Create(name string) (disk.File, error) {
	f, err := d.Fake.Create(name)
	return &delayedFile{File: f, disk: d}, err
}

// delayedFile is a file of a faultyDisk.
type delayedFile struct {
	disk.File
	disk *faultyDisk
}

// Sync implements disk.File.
func (f *delayedFile) Sync() error {
	for waited := time.Duration(0); waited < time.Duration(f.disk.delay.Load()); waited += time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	return f.File.Sync()
}

// controlMember is a control host's member of the contracts group.
type controlMember struct {
	host   mustardramp.HostName
	disk   *faultyDisk
	state  *registry.State
	log    *member
	server *registry.Server
	// stop ends the process. It is nil while the process does not run.
	stop  context.CancelFunc
	ended chan error
}

// controlGroup is a group of control hosts that call each other in memory.
type controlGroup struct {
	t       *testing.T
	hosts   []mustardramp.HostName
	members map[mustardramp.HostName]*controlMember
	mu      sync.Mutex
	// receivers holds the members that run.
	receivers map[mustardramp.HostName]*member
	inboxes   map[mustardramp.HostName]chan func()
	pumps     errgroup.Group
	// snapshotBytes is the size of the applied commands after which a snapshot is
	// taken.
	snapshotBytes int
}

// groupTransport sends the messages of one member. It implements quorum.Transport.
type groupTransport struct {
	group *controlGroup
	from  mustardramp.HostName
}

// Send implements quorum.Transport. Each message takes a millisecond.
func (t groupTransport) Send(to mustardramp.HostName, m quorum.Message) {
	deliver := func() {
		t.group.mu.Lock()
		receiver := t.group.receivers[to]
		t.group.mu.Unlock()
		if receiver != nil {
			receiver.Receive(t.from, m)
		}
	}
	select {
	case t.group.inboxes[to] <- deliver:
	default:
	}
}

// Forget implements quorum.Transport.
func (groupTransport) Forget(mustardramp.HostName) {}

func newControlGroup(t *testing.T, fails func(disk.Operation) bool, snapshotBytes int) *controlGroup {
	g := &controlGroup{
		t: t, members: map[mustardramp.HostName]*controlMember{}, receivers: map[mustardramp.HostName]*member{},
		inboxes: map[mustardramp.HostName]chan func(){}, snapshotBytes: snapshotBytes,
	}
	for i := range 5 {
		host := mustardramp.HostName(fmt.Sprintf("10.0.0.%d:7540", i+1))
		g.hosts = append(g.hosts, host)
		g.members[host] = &controlMember{host: host, disk: newFaultyDisk(fails)}
		inbox := make(chan func(), 4096)
		g.inboxes[host] = inbox
		g.pumps.Go(func() error {
			for deliver := range inbox {
				time.Sleep(time.Millisecond)
				deliver()
			}
			return nil
		})
	}
	for _, host := range g.hosts {
		g.start(host, true)
	}
	return g
}

// start starts the process of a host.
func (g *controlGroup) start(host mustardramp.HostName, isFirst bool) {
	g.t.Helper()
	m := g.members[host]
	state := &registry.State{}
	log, err := openMember(quorum.Config{
		Group: "contracts", Host: host, Hosts: g.hosts[:3], TargetVoters: 5, IsFirstStart: isFirst,
		Folder: "data", Disk: m.disk, Machine: state, Transport: groupTransport{group: g, from: host}, SnapshotBytes: g.snapshotBytes,
	}, func() error { return emptyMachine(state, &registry.State{}) })
	if err != nil {
		g.t.Errorf("start of %s: got %v, want it to wait for room on its disk", host, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.ended = cancel, make(chan error, 1)
	g.pumps.Go(func() error {
		m.ended <- log.run(ctx)
		return nil
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	m.state, m.log, m.server = state, log, &registry.Server{State: state, Log: log}
	g.receivers[host] = log
}

// end ends the process of a host.
func (g *controlGroup) end(host mustardramp.HostName) {
	g.t.Helper()
	g.mu.Lock()
	delete(g.receivers, host)
	g.mu.Unlock()
	m := g.members[host]
	if m.stop == nil {
		return
	}
	m.stop()
	m.stop = nil
	if err := <-m.ended; err != nil {
		g.t.Errorf("%s: got %v, want the process to live", host, err)
	}
}

func (g *controlGroup) close() {
	for _, host := range g.hosts {
		g.end(host)
	}
	for _, inbox := range g.inboxes {
		close(inbox)
	}
	_ = g.pumps.Wait()
}

// leader returns the host that leads, or the first one if none does.
func (g *controlGroup) leader() mustardramp.HostName {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, host := range g.hosts {
		if g.members[host].log.Status().IsLeading() {
			return host
		}
	}
	return g.hosts[0]
}

// server returns the server of a host's present process.
func (g *controlGroup) server(host mustardramp.HostName) *registry.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[host].server
}

// change commits a departure as an operator does: it asks one host after another, for
// a second each. It returns false if no host has acknowledged it by the deadline.
func (g *controlGroup) change(name string, first int, timeout time.Duration) (time.Duration, bool) {
	begun := time.Now()
	for i := first; time.Since(begun) < timeout; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := g.server(g.hosts[i%len(g.hosts)]).Leave(ctx, registry.Departure{Instance: name, Incarnation: 1})
		cancel()
		if err == nil {
			return time.Since(begun), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begun), false
}

// diskFault is what happens to one disk after another.
type diskFault struct {
	fails         func(disk.Operation) bool
	delay         time.Duration
	restart       bool
	snapshotBytes int
}

// TestChangesAfterDisksFailedInTurn guards against a group that acknowledges no change
// any more after the disks of its hosts were full, stalled or slow for a few seconds
// each, one after another and never two at once. Every change that is sent once no
// disk has failed for contactWindow is acknowledged in time, and none that was
// acknowledged is lost.
func TestChangesAfterDisksFailedInTurn(t *testing.T) {
	only := func(operations ...disk.Operation) func(disk.Operation) bool {
		return func(op disk.Operation) bool { return slices.Contains(operations, op) }
	}
	const manyBytes, fewBytes = 1 << 20, 2 << 10
	tests := map[string]diskFault{
		"full at a write":            {fails: only(disk.OperationWrite), snapshotBytes: manyBytes},
		"full at a sync":             {fails: only(disk.OperationSync), snapshotBytes: manyBytes},
		"full at a snapshot":         {fails: only(disk.OperationWrite), snapshotBytes: fewBytes},
		"full at a new file":         {fails: only(disk.OperationCreate), snapshotBytes: fewBytes},
		"full at a rename":           {fails: only(disk.OperationRename), snapshotBytes: fewBytes},
		"full at a removal":          {fails: only(disk.OperationRemove), snapshotBytes: fewBytes},
		"full at a directory's sync": {fails: only(disk.OperationSyncDirectory), snapshotBytes: fewBytes},
		"full at anything":           {fails: func(disk.Operation) bool { return true }, snapshotBytes: fewBytes},
		"full, and restarted":        {fails: func(disk.Operation) bool { return true }, snapshotBytes: fewBytes, restart: true},
		"stalled":                    {fails: only(), delay: 3 * time.Second, snapshotBytes: fewBytes},
		"slow":                       {fails: only(), delay: 150 * time.Millisecond, snapshotBytes: fewBytes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range *diskSeeds {
				synctest.Test(t, func(t *testing.T) { failDisksInTurn(t, test, seed) })
			}
		})
	}
}

func failDisksInTurn(t *testing.T, fault diskFault, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	g := newControlGroup(t, fault.fails, fault.snapshotBytes)
	defer g.close()
	if _, ok := g.change("first", 0, 20*time.Second); !ok {
		t.Fatal("got no acknowledgement of the first change, want one")
	}
	time.Sleep(2 * time.Second)

	var calm atomic.Int64
	var mu sync.Mutex
	acknowledged := []string{"first"}
	var operator errgroup.Group
	done := make(chan struct{})
	for lane := range 3 {
		operator.Go(func() error {
			for i := 0; ; i++ {
				select {
				case <-done:
					return nil
				default:
				}
				name := fmt.Sprintf("change-%d-%d", lane, i)
				begun := time.Now().UnixNano()
				took, ok := g.change(name, lane+i, 20*time.Second)
				since := calm.Load()
				if isCalm := since > 0 && begun > since+int64(contactWindow); isCalm && (!ok || took > ackTimeout) {
					t.Errorf("seed %d: %s: got no acknowledgement for %s after the last fault, want it within %s", seed, name, took, ackTimeout)
				}
				if ok {
					mu.Lock()
					acknowledged = append(acknowledged, name)
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for round := range 10 {
		host := g.hosts[random.IntN(len(g.hosts))]
		if round%2 == 0 {
			host = g.leader()
		}
		g.failDisk(host, fault, time.Duration(500+random.IntN(3000))*time.Millisecond)
		// The next disk may fail before this host has caught up.
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	calm.Store(time.Now().UnixNano())
	time.Sleep(40 * time.Second)
	close(done)
	_ = operator.Wait()
	time.Sleep(2 * time.Second)
	for _, host := range g.hosts {
		for _, name := range acknowledged {
			if !g.members[host].state.HasLeft(name, 1) {
				t.Errorf("seed %d: %s: got acknowledged change %s missing, want it kept", seed, host, name)
			}
		}
	}
}

// failDisk lets one disk fail for a time. With restart, the process of its host is
// killed and started again meanwhile.
func (g *controlGroup) failDisk(host mustardramp.HostName, fault diskFault, d time.Duration) {
	m := g.members[host]
	m.disk.delay.Store(int64(fault.delay))
	m.disk.full.Store(true)
	time.Sleep(d / 2)
	if fault.restart {
		g.end(host)
		g.start(host, false)
	}
	time.Sleep(d / 2)
	m.disk.full.Store(false)
	m.disk.delay.Store(0)
}
