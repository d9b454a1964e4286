package quorum

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// defaultSnapshotBytes is the minimum size of the commands applied between two
// snapshots.
const defaultSnapshotBytes = 8 << 20

// applyTask is work for the state machine: a snapshot to restore, if any, then
// entries to apply.
type applyTask struct {
	restore *Snapshot
	entries []Entry
}

// appliedProposal is the result of a proposal that this member made.
type appliedProposal struct {
	id    ProposalID
	value []byte
}

// taskResult is the outcome of an applyTask: the index of the last applied entry
// and the results of this member's proposals.
type taskResult struct {
	index     mustardramp.Index
	proposals []appliedProposal
	// state is a snapshot of the state machine at index, or nil.
	state []byte
}

// applier runs tasks on the state machine. It is used by one goroutine only.
type applier struct {
	machine mustardramp.StateMachine
	self    MemberID
	// snapshotBytes is the size of the commands after which the next snapshot is
	// taken, bytesSinceSnapshot the size of those applied since the last one.
	snapshotBytes      int
	bytesSinceSnapshot int
	// index is that of the last applied entry.
	index mustardramp.Index
}

// runApplier runs queued tasks until the context ends or the state machine
// fails.
func (g *Group) runApplier(ctx context.Context) error {
	a := &applier{
		machine:       g.config.Machine,
		self:          g.id.Member.ID,
		snapshotBytes: g.config.SnapshotBytes,
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case t := <-g.tasks:
			result, err := a.run(t)
			if err != nil {
				klog.ErrorS(err, "group-machine-failed", "group", g.config.Group)
				return err
			}
			g.taskResults <- result
		}
	}
}

// run applies a task and takes a snapshot if one is due. Each snapshot raises the
// size until the next one to at least twice its own size, so that the cost of
// snapshots stays in proportion to that of the commands.
func (a *applier) run(t applyTask) (taskResult, error) {
	if t.restore != nil {
		if err := a.machine.Restore(t.restore.State); err != nil {
			return taskResult{}, err
		}
		a.index = t.restore.Index
		a.bytesSinceSnapshot = 0
	}
	result := taskResult{}
	for _, entry := range t.entries {
		a.apply(entry, &result)
	}
	result.index = a.index
	if a.bytesSinceSnapshot < a.snapshotBytes {
		return result, nil
	}
	state, err := a.machine.Snapshot()
	result.state = state
	a.bytesSinceSnapshot = 0
	a.snapshotBytes = max(a.snapshotBytes, 2*len(state))
	return result, err
}

func (a *applier) apply(entry Entry, result *taskResult) {
	a.index = entry.Index
	if entry.Kind != EntryCommand {
		return
	}
	a.bytesSinceSnapshot += len(entry.Command)
	value := a.machine.Apply(entry.Index, entry.Command)
	if entry.Proposal.Member == a.self {
		result.proposals = append(result.proposals, appliedProposal{entry.Proposal, value})
	}
}

// queueTask collects work for the state machine until the applier is free. A
// snapshot replaces the work queued before it, and the results of proposals that
// it contains are lost.
func (g *Group) queueTask(out output) {
	if out.restore != nil {
		g.queuedTask = applyTask{restore: out.restore}
		g.waiters.failSubmitted("a snapshot was installed")
	}
	g.queuedTask.entries = append(g.queuedTask.entries, out.committed...)
}

// startTask hands the queued work to the applier if that is free.
func (g *Group) startTask() {
	if g.isApplying || g.queuedTask.restore == nil && len(g.queuedTask.entries) == 0 {
		return
	}
	g.isApplying = true
	g.tasks <- g.queuedTask
	g.queuedTask = applyTask{}
}

// finishTask passes the results of a task to the waiting callers and stores its
// snapshot, if it took one.
func (g *Group) finishTask(r taskResult) error {
	g.isApplying = false
	g.core.recordApplied(r.index)
	g.waiters.resolve(r.proposals, r.index)
	if r.state == nil {
		return nil
	}
	klog.InfoS("snapshot-taken", "group", g.config.Group, "index", r.index, "bytes", len(r.state))
	return g.core.compact(r.index, r.state)
}

// waitTick waits for the length of one tick.
func (g *Group) waitTick(ctx context.Context) error {
	timer := time.NewTimer(g.config.Tick)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
