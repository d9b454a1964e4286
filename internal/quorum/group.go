// Package quorum replicates a log among a few members with disks, and applies
// it to a machine on each of them.
//
// A command counts once a quorum has synced it. The members elect a leader by
// pre-vote and vote; a leader that no longer hears a quorum steps down. Reads
// are confirmed by a round of messages; nothing rests on clocks. The decisions
// stand in core, a pure function; Group runs it with a journal and a
// transport.
package quorum

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/journal"
)

// ErrUnknown is the class of errors for a proposal that may or may not be
// committed.
var ErrUnknown = errs.Class("proposal outcome unknown")

// ErrStopped is the class of errors for a group that does not run.
var ErrStopped = errs.Class("group stopped")

// DefaultTick is the length of a tick.
const DefaultTick = 50 * time.Millisecond

// inboxSize bounds the messages that wait to be taken in; more are lost.
const inboxSize = 4096

// Transport carries messages to hosts.
type Transport interface {
	// Send passes a message on without waiting. It may be lost.
	Send(to mustardramp.HostName, m Message)
}

// Config describes one member. Disk, Timing, Tick and Seed have defaults.
type Config struct {
	Group GroupName
	Host  mustardramp.HostName
	// Hosts lists the hosts of the group, Host included. It founds the group
	// when all of them are blank, and later says who may join.
	Hosts []mustardramp.HostName
	// Size, when it is above 0, is the number of voters that the group grows
	// to. Hosts then lists the seeds that found it, this host not always among
	// them, and any host may join; one beyond the size waits until a voter
	// falls silent and takes its place.
	Size int
	// First is true at the first start of a group with a Size: only then may
	// it be founded.
	First bool
	// Folder belongs to this member alone.
	Folder    string
	Disk      disk.Disk
	Machine   mustardramp.Machine
	Transport Transport
	Timing    Timing
	Tick      time.Duration
	// SnapshotBytes is the size of the commands after which a snapshot is
	// taken.
	SnapshotBytes int
}

func (c Config) orDefault() Config {
	if c.Disk == nil {
		c.Disk = disk.System{}
	}
	if c.Tick <= 0 {
		c.Tick = DefaultTick
	}
	if c.SnapshotBytes <= 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	return c
}

// Status is what a member knows of its group.
type Status struct {
	Self   Member
	Leader MemberID
	Term   Term
	Commit mustardramp.Index
	// Membership is the newest one in the log; Settled is set once it is
	// committed.
	Membership Membership
	Settled    bool
}

// IsLeading reports whether the member leads its group, as far as it knows.
func (s Status) IsLeading() bool {
	return s.Leader == s.Self.ID
}

// Group is one member of a replicated group. It implements mustardramp.Log.
// A command may be applied more than once when the transport repeats it or
// the proposer does: commands carry their own ids where that matters.
type Group struct {
	config  Config
	journal *journal.Journal
	id      identity
	core    *core
	founder *founder
	waiting *waiting
	routes  map[MemberID]mustardramp.HostName

	inbox    chan delivery
	calls    chan call
	ticks    chan struct{}
	batches  chan batch
	synced   chan batch
	tasks    chan task
	finished chan taskResult
	stopped  chan struct{}

	// syncing and applying are set while a batch or a task is under way.
	syncing  bool
	applying bool
	task     task

	status atomic.Pointer[Status]
}

var _ mustardramp.Log = (*Group)(nil)

// delivery is a message with the host that sent it.
type delivery struct {
	from mustardramp.HostName
	m    Message
}

// Open reads the member's folder, or makes a new identity in a blank one.
func Open(config Config) (*Group, error) {
	config = config.orDefault()
	j, found, err := journal.Open(config.Disk, config.Folder, journal.Options{})
	if err != nil {
		return nil, err
	}
	g := &Group{
		config:   config,
		journal:  j,
		waiting:  newWaiting(),
		routes:   map[MemberID]mustardramp.HostName{},
		inbox:    make(chan delivery, inboxSize),
		calls:    make(chan call),
		ticks:    make(chan struct{}, 1),
		batches:  make(chan batch, 1),
		synced:   make(chan batch, 1),
		tasks:    make(chan task, 1),
		finished: make(chan taskResult, 1),
		stopped:  make(chan struct{}),
	}
	if err := g.recover(found); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	g.publishStatus()
	s := g.Status()
	klog.InfoS("member-opened", "group", config.Group, "member", s.Self.ID, "term", s.Term, "index", g.core.log.last(),
		"voter", g.core.isVoter(), "voters", s.Membership.voters())
	return g, nil
}

func (g *Group) recover(found journal.Recovered) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c, id, err := recoverCore(found, g.config.Timing, random)
	if err != nil {
		return err
	}
	if id == nil {
		id, err = g.newIdentity()
	}
	if err != nil {
		return err
	}
	if id.Group != g.config.Group || id.Member.Host != g.config.Host {
		return ErrFolder.New("%s belongs to %s of group %s", g.config.Folder, id.Member.Host, id.Group)
	}
	c.self = id.Member
	c.allow(g.config.Hosts)
	c.size = g.config.Size
	g.core, g.id = c, *id
	g.founder = newFounder(id.Member, &g.config)
	if c.snapshot != nil {
		g.waiting.applied = c.snapshot.Index
		return g.config.Machine.Restore(c.snapshot.State)
	}
	return nil
}

// newIdentity is synced before the member says or answers anything.
func (g *Group) newIdentity() (*identity, error) {
	id := &identity{
		Group:  g.config.Group,
		Member: Member{ID: MemberID(rand.Uint64()), Host: g.config.Host},
	}
	return id, batch{records: []record{{Identity: id}}}.write(g.journal)
}

// Run takes part in the group until the context ends or the disk fails. A
// member whose disk failed must not go on: what the disk holds is known again
// only after a restart.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.stopped)
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return g.loop(ctx) })
	work.Go(func() error { return g.store(ctx) })
	work.Go(func() error { return g.applyTasks(ctx) })
	work.Go(func() error { return g.tickTock(ctx) })
	err := work.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Join(err, g.journal.Close())
}

// Receive takes in a message from a host's member. It does not wait.
func (g *Group) Receive(from mustardramp.HostName, m Message) {
	select {
	case g.inbox <- delivery{from, m}:
	default:
	}
}

// Status returns what the member knows of its group.
func (g *Group) Status() Status {
	return *g.status.Load()
}

// IsLeading reports whether this member leads its group, as far as it knows.
func (g *Group) IsLeading() bool {
	return g.Status().IsLeading()
}

func (g *Group) tickTock(ctx context.Context) error {
	ticker := time.NewTicker(g.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		select {
		case g.ticks <- struct{}{}:
		default:
		}
	}
}

// store syncs one batch after the other. What arrives meanwhile forms the next
// batch, so that one sync serves many commands.
func (g *Group) store(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-g.batches:
			if err := b.write(g.journal); err != nil {
				klog.ErrorS(err, "group-disk-failed", "group", g.config.Group, "folder", g.config.Folder)
				return err
			}
			g.synced <- b
		}
	}
}

// loop is the only goroutine that touches the core.
func (g *Group) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-g.inbox:
			g.deliver(d)
		case call := <-g.calls:
			call(g)
		case <-g.ticks:
			g.tick()
		case b := <-g.synced:
			g.finishSync(b)
		case r := <-g.finished:
			if err := g.finishTask(r); err != nil {
				return err
			}
		}
		g.drain()
		g.pump()
	}
}

// drain takes in what has gathered, so that it is answered together.
func (g *Group) drain() {
	for range inboxSize {
		select {
		case d := <-g.inbox:
			g.deliver(d)
		case call := <-g.calls:
			call(g)
		case b := <-g.synced:
			g.finishSync(b)
		default:
			return
		}
	}
}

func (g *Group) deliver(d delivery) {
	if d.m.From != 0 {
		g.routes[d.m.From] = d.from
	}
	switch d.m.Kind {
	case MessageHello, MessageHelloReply:
		g.greet(d)
	default:
		g.core.step(d.m)
	}
}

func (g *Group) tick() {
	g.core.tick()
	g.waiting.tick(g.core)
	for _, to := range g.founder.tick(g.core) {
		g.config.Transport.Send(to.host, to.m)
	}
}

func (g *Group) greet(d delivery) {
	for _, to := range g.founder.handle(g.core, d.m) {
		g.config.Transport.Send(to.host, to.m)
	}
}

func (g *Group) finishSync(b batch) {
	g.syncing = false
	g.send(b.messages)
	g.core.saved(b.mark)
}

// pump does what the core asks for.
func (g *Group) pump() {
	g.waiting.follow(g.core)
	out := g.core.take()
	g.send(out.messages)
	g.addTask(out)
	g.waiting.refused(out.refused)
	g.waiting.confirm(out.reads)
	g.logBallots(out.unwon)
	if !g.syncing {
		g.sync()
	}
	g.startTask()
	g.publishStatus()
}

func (g *Group) sync() {
	b := g.core.takeBatch(g.id)
	if !b.mustSync() {
		g.send(b.messages)
		return
	}
	g.syncing = true
	g.batches <- b
}

func (g *Group) publishStatus() {
	old := g.status.Load()
	next := Status{
		Self:       g.core.self,
		Leader:     g.core.leader,
		Term:       g.core.state.Term,
		Commit:     g.core.commit,
		Membership: g.core.membership(),
		Settled:    g.core.commit >= g.core.log.newest().index,
	}
	if old != nil && old.Leader != next.Leader {
		klog.InfoS("leader-changed", "group", g.config.Group, "term", next.Term, "leader", g.hostOf(next.Leader))
	}
	g.status.Store(&next)
}

// logBallots tells who answered in elections that were not won: what separates a
// split vote from members that are silent or ahead.
func (g *Group) logBallots(unwon []ballotCount) {
	for _, b := range unwon {
		klog.InfoS("election-unwon", "group", g.config.Group, "pre", b.pre, "term", b.term, "index", g.core.log.last(),
			"voters", g.core.membership().voters(), "granted", g.hostsOf(b.granted), "refused", g.hostsOf(b.refused))
	}
}

func (g *Group) hostsOf(ids []MemberID) []mustardramp.HostName {
	hosts := make([]mustardramp.HostName, len(ids))
	for i, id := range ids {
		hosts[i] = g.hostOf(id)
	}
	return hosts
}

// send passes messages on. One to a member whose host is not known is lost.
func (g *Group) send(messages []Message) {
	for _, m := range messages {
		if host := g.hostOf(m.To); host != "" {
			g.config.Transport.Send(host, m)
		}
	}
}

func (g *Group) hostOf(id MemberID) mustardramp.HostName {
	if member, ok := g.core.membership().Member(id); ok {
		return member.Host
	}
	return g.routes[id]
}
