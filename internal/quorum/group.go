// Package quorum replicates a log among a few members with disks and applies it
// to a state machine on each of them. The protocol follows Raft.
//
// A command is committed once a quorum has synced it. The members elect a leader
// by pre-votes and votes; a leader that no longer receives messages from a quorum
// steps down. Reads are confirmed by a round of messages to a quorum, so that
// correctness does not depend on clocks. The protocol itself is in core, a pure
// function. Group runs it with a journal and a transport.
package quorum

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/journal"
)

// ErrUnknown is the class of errors for a proposal that may have been committed or
// may still be committed later.
var ErrUnknown = errs.Class("proposal outcome unknown")

// ErrStopped is the class of errors for calls to a group that has stopped.
var ErrStopped = errs.Class("group stopped")

// DefaultTick is the default length of a tick.
const DefaultTick = 50 * time.Millisecond

// inboxSize limits the received messages that wait to be processed. Any more are
// dropped.
const inboxSize = 4096

// Transport sends messages to hosts.
type Transport interface {
	// Send sends a message without waiting for its delivery. The message may be
	// lost.
	Send(to mustardramp.HostName, m Message)
	// Forget releases what is held for a host that is no longer a member. A message to
	// or from that host may follow all the same.
	Forget(host mustardramp.HostName)
}

// Config configures one member. Disk, Timing, Tick and SnapshotBytes have
// defaults.
type Config struct {
	Group GroupName
	Host  mustardramp.HostName
	// Hosts lists the hosts of the group, including Host. These hosts bootstrap
	// the group once all of them are blank, and only they may join it later.
	Hosts []mustardramp.HostName
	// TargetVoters, if above 0, is the number of voters that the group grows to.
	// Hosts then lists the seeds that bootstrap the group, which need not include
	// this host, and any host may join. A host beyond that number of voters stays
	// a learner until it replaces a voter that has fallen silent.
	TargetVoters int
	// IsFirstStart is set at the first start of a group with TargetVoters. The
	// group can be bootstrapped only then.
	IsFirstStart bool
	// Folder must not be shared with another member.
	Folder    string
	Disk      disk.Disk
	Machine   mustardramp.StateMachine
	Transport Transport
	Timing    Timing
	Tick      time.Duration
	// SnapshotBytes is the size of the applied commands after which a snapshot
	// is taken.
	SnapshotBytes int
}

func (c Config) withDefaults() Config {
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

// Status is a member's view of its group.
type Status struct {
	Self Member
	// Leader is 0 if it is not known.
	Leader MemberID
	Term   Term
	// Commit is the index of the last entry known to be committed.
	Commit mustardramp.Index
	// Membership is the latest one in the log. MembershipCommitted is set once
	// that is committed.
	Membership          Membership
	MembershipCommitted bool
}

// IsLeading reports whether the member leads its group, as far as it knows.
func (s Status) IsLeading() bool {
	return s.Leader == s.Self.ID
}

// Group is one member of a replicated group. It implements mustardramp.Log. A
// command may be applied more than once if the transport or the proposer repeats
// it, so commands carry their own IDs where that matters.
type Group struct {
	config       Config
	journal      *journal.Journal
	id           identity
	core         *core
	bootstrapper *bootstrapper
	waiters      *waiters
	// observedHosts holds the host from which each member last sent a message.
	observedHosts map[MemberID]mustardramp.HostName

	inbox         chan delivery
	calls         chan loopCall
	ticks         chan struct{}
	batches       chan batch
	syncedBatches chan batch
	tasks         chan applyTask
	taskResults   chan taskResult
	stopped       chan struct{}

	// isSyncing and isApplying are set while a batch or a task is in progress.
	isSyncing  bool
	isApplying bool
	// loggedBehind is whether the member was behind when that was logged last.
	loggedBehind bool
	// queuedTask is the work collected for the applier.
	queuedTask applyTask

	status atomic.Pointer[Status]
}

var _ mustardramp.Log = (*Group)(nil)

// delivery is a received message with the host that sent it.
type delivery struct {
	from    mustardramp.HostName
	message Message
}

// Open opens the member's folder. In a blank folder it creates a new identity.
func Open(config Config) (*Group, error) {
	config = config.withDefaults()
	j, recovered, err := journal.Open(config.Disk, config.Folder, journal.Options{})
	if err != nil {
		return nil, err
	}
	g := &Group{
		config:        config,
		journal:       j,
		waiters:       newWaiters(),
		observedHosts: map[MemberID]mustardramp.HostName{},
		inbox:         make(chan delivery, inboxSize),
		calls:         make(chan loopCall),
		ticks:         make(chan struct{}, 1),
		batches:       make(chan batch, 1),
		syncedBatches: make(chan batch, 1),
		tasks:         make(chan applyTask, 1),
		taskResults:   make(chan taskResult, 1),
		stopped:       make(chan struct{}),
	}
	if err := g.recover(recovered); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	g.publishStatus()
	s := g.Status()
	klog.InfoS("member-opened", "group", config.Group, "member", s.Self.ID, "term", s.Term, "index", g.core.log.lastIndex(),
		"voter", g.core.isVoter(), "voters", s.Membership.VoterCount())
	return g, nil
}

// recover restores the member from the content of its folder.
func (g *Group) recover(recovered journal.Recovered) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c, id, err := recoverCore(recovered, g.config.Timing, random)
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
		return ErrFolder.New("%s belongs to host %s of group %s", g.config.Folder, id.Member.Host, id.Group)
	}
	c.self = id.Member
	c.setJoinableHosts(g.config.Hosts)
	c.targetVoters = g.config.TargetVoters
	g.core, g.id = c, *id
	g.bootstrapper = newBootstrapper(id.Member, &g.config)
	if c.snapshot != nil {
		g.waiters.appliedIndex = c.snapshot.Index
		c.recordApplied(c.snapshot.Index)
		return g.config.Machine.Restore(c.snapshot.State)
	}
	return nil
}

// newIdentity creates an identity and syncs it, so that it is on disk before the
// member sends any message.
func (g *Group) newIdentity() (*identity, error) {
	id := &identity{
		Group:  g.config.Group,
		Member: Member{ID: MemberID(rand.Uint64()), Host: g.config.Host},
	}
	return id, batch{records: []record{{Identity: id}}}.write(g.journal)
}

// Run takes part in the group until the context ends or the disk or the state
// machine fails. A member whose disk has failed must not continue, since the
// content of the disk is unknown until it is read again at the next start.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.stopped)
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return g.runLoop(ctx) })
	work.Go(func() error { return g.syncBatches(ctx) })
	work.Go(func() error { return g.runApplier(ctx) })
	work.Go(func() error { return g.runTicker(ctx) })
	err := work.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Join(err, g.journal.Close())
}

// Receive queues a message from the member of a host. It does not wait, and drops
// the message if the queue is full.
func (g *Group) Receive(from mustardramp.HostName, m Message) {
	select {
	case g.inbox <- delivery{from, m}:
	default:
	}
}

// Status returns the member's view of its group.
func (g *Group) Status() Status {
	return *g.status.Load()
}

// IsLeading reports whether this member leads its group, as far as it knows.
// Another member may already lead a later term.
func (g *Group) IsLeading() bool {
	return g.Status().IsLeading()
}

// runTicker sends a tick to the loop at each interval. A tick is skipped if the
// previous one has not been processed.
func (g *Group) runTicker(ctx context.Context) error {
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

// syncBatches syncs one batch after another. Commands that arrive during a sync
// form the next batch, so that one sync serves many commands.
func (g *Group) syncBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-g.batches:
			if err := b.write(g.journal); err != nil {
				klog.ErrorS(err, "group-disk-failed", "group", g.config.Group, "folder", g.config.Folder)
				return err
			}
			g.syncedBatches <- b
		}
	}
}

// runLoop processes all events of the group. Its goroutine is the only one that
// uses the core.
func (g *Group) runLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-g.inbox:
			g.handleMessage(d)
		case call := <-g.calls:
			call(g)
		case <-g.ticks:
			g.tick()
		case b := <-g.syncedBatches:
			g.finishSync(b)
		case r := <-g.taskResults:
			if err := g.finishTask(r); err != nil {
				return err
			}
		}
		g.processQueued()
		g.processOutput()
	}
}

// processQueued processes the events that are already queued, so that the output
// of all of them is sent together.
func (g *Group) processQueued() {
	for range inboxSize {
		select {
		case d := <-g.inbox:
			g.handleMessage(d)
		case call := <-g.calls:
			call(g)
		case b := <-g.syncedBatches:
			g.finishSync(b)
		default:
			return
		}
	}
}

// handleMessage passes a received message to the core or the bootstrapper.
func (g *Group) handleMessage(d delivery) {
	if d.message.From != 0 {
		g.observedHosts[d.message.From] = d.from
	}
	switch d.message.Kind {
	case MessageHello, MessageHelloReply:
		g.handleHello(d)
	default:
		g.core.step(d.message)
	}
}

func (g *Group) tick() {
	g.core.tick()
	g.waiters.tick(g.core)
	for _, m := range g.bootstrapper.tick(g.core) {
		g.config.Transport.Send(m.host, m.message)
	}
}

func (g *Group) handleHello(d delivery) {
	for _, m := range g.bootstrapper.handleHello(g.core, d.message) {
		g.config.Transport.Send(m.host, m.message)
	}
}

func (g *Group) finishSync(b batch) {
	g.isSyncing = false
	g.send(b.messages)
	g.core.recordSync(b.syncPoint)
}

// processOutput performs the actions that the core has collected.
func (g *Group) processOutput() {
	g.waiters.submit(g.core)
	out := g.core.takeOutput()
	g.send(out.messages)
	g.queueTask(out)
	g.waiters.deferRefused(out.refusedProposals)
	g.waiters.confirmReads(out.reads)
	g.logFailedElections(out.failedElections)
	g.logMemberChanges(out.memberChanges)
	if !g.isSyncing {
		g.startSync()
	}
	g.startTask()
	g.logBehind()
	g.publishStatus()
}

// startSync passes the pending batch to the journal. If it has nothing to write,
// its messages are sent at once.
func (g *Group) startSync() {
	b := g.core.takeBatch(g.id)
	if !b.needsSync() {
		g.send(b.messages)
		return
	}
	g.isSyncing = true
	g.batches <- b
}

func (g *Group) publishStatus() {
	old := g.status.Load()
	next := Status{
		Self:                g.core.self,
		Leader:              g.core.leader,
		Term:                g.core.hardState.Term,
		Commit:              g.core.commitIndex,
		Membership:          g.core.membership(),
		MembershipCommitted: g.core.commitIndex >= g.core.log.latestMembership().index,
	}
	if old != nil && old.Leader != next.Leader {
		klog.InfoS("leader-changed", "group", g.config.Group, "term", next.Term, "leader", g.hostOf(next.Leader))
	}
	if old != nil {
		g.forgetRemoved(old.Membership, next.Membership)
	}
	g.status.Store(&next)
}

// forgetRemoved releases what is held for members that were removed.
func (g *Group) forgetRemoved(old, next Membership) {
	for _, member := range old {
		if _, ok := next.Member(member.ID); ok {
			continue
		}
		delete(g.observedHosts, member.ID)
		isHost := func(other Member) bool { return other.Host == member.Host }
		if member.Host != g.config.Host && !slices.ContainsFunc(next, isHost) {
			g.config.Transport.Forget(member.Host)
		}
	}
}

// logFailedElections logs which members replied in failed elections. This tells a
// split vote from members that are silent or have a newer log.
func (g *Group) logFailedElections(failed []electionResult) {
	for _, result := range failed {
		klog.InfoS("election-failed", "group", g.config.Group, "pre-vote", result.isPreVote, "term", result.term, "index", g.core.log.lastIndex(),
			"voters", g.core.membership().VoterCount(), "granted", g.hostsOf(result.granted), "refused", g.hostsOf(result.refused))
	}
}

// logMemberChanges logs the membership changes that this member has started, each with
// how long the member concerned has been silent. This tells a host that was replaced
// while it was frozen from one that is gone.
func (g *Group) logMemberChanges(changes []memberChange) {
	membership := g.core.membership()
	for _, change := range changes {
		klog.InfoS("member-changed", "group", g.config.Group, "change", change.action, "host", change.member.Host, "member", change.member.ID,
			"voter", change.member.Voter, "silent", (time.Duration(change.silentTicks) * g.config.Tick).Milliseconds(),
			"term", g.core.hardState.Term, "voters", membership.VoterCount(), "learners", membership.LearnerCount(), "limit", MaxLearners)
	}
}

func (g *Group) hostsOf(ids []MemberID) []mustardramp.HostName {
	hosts := make([]mustardramp.HostName, len(ids))
	for i, id := range ids {
		hosts[i] = g.hostOf(id)
	}
	return hosts
}

// send sends messages to the hosts of their receivers. A message to a member whose
// host is not known is dropped.
func (g *Group) send(messages []Message) {
	for _, m := range messages {
		if host := g.hostOf(m.To); host != "" {
			g.config.Transport.Send(host, m)
		}
	}
}

// hostOf returns the host of a member, or "" if it is not known.
func (g *Group) hostOf(id MemberID) mustardramp.HostName {
	if member, ok := g.core.membership().Member(id); ok {
		return member.Host
	}
	return g.observedHosts[id]
}
