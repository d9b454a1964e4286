package quorum

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// defaultSnapshotBytes is the least size of the commands between snapshots.
const defaultSnapshotBytes = 8 << 20

// task is work for the machine: a snapshot to restore, then entries to apply.
type task struct {
	restore *Snapshot
	entries []Entry
}

// applied is the result of one of this member's own proposals.
type applied struct {
	id    ProposalID
	value []byte
}

type taskResult struct {
	index   mustardramp.Index
	results []applied
	// state is a snapshot of the machine at index, or nil.
	state []byte
}

// applier runs tasks on the machine. It belongs to one goroutine.
type applier struct {
	machine mustardramp.Machine
	self    MemberID
	// budget is the size of the commands after which a snapshot is due.
	budget int
	size   int
	index  mustardramp.Index
}

func (g *Group) applyTasks(ctx context.Context) error {
	a := &applier{
		machine: g.config.Machine,
		self:    g.id.Member.ID,
		budget:  g.config.SnapshotBytes,
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
			g.finished <- result
		}
	}
}

func (a *applier) run(t task) (taskResult, error) {
	if t.restore != nil {
		if err := a.machine.Restore(t.restore.State); err != nil {
			return taskResult{}, err
		}
		a.index = t.restore.Index
		a.size = 0
	}
	result := taskResult{}
	for _, entry := range t.entries {
		a.apply(entry, &result)
	}
	result.index = a.index
	if a.size < a.budget {
		return result, nil
	}
	state, err := a.machine.Snapshot()
	result.state = state
	a.size = 0
	a.budget = max(a.budget, 2*len(state))
	return result, err
}

func (a *applier) apply(entry Entry, result *taskResult) {
	a.index = entry.Index
	if entry.Kind != EntryCommand {
		return
	}
	a.size += len(entry.Command)
	value := a.machine.Apply(entry.Index, entry.Command)
	if entry.Proposal.Member == a.self {
		result.results = append(result.results, applied{entry.Proposal, value})
	}
}

// addTask gathers work for the machine until it is free. A snapshot stands for
// what came before it; results within it are not known.
func (g *Group) addTask(out output) {
	if out.restore != nil {
		g.task = task{restore: out.restore}
		g.waiting.failSubmitted("a snapshot was installed")
	}
	g.task.entries = append(g.task.entries, out.committed...)
}

func (g *Group) startTask() {
	if g.applying || g.task.restore == nil && len(g.task.entries) == 0 {
		return
	}
	g.applying = true
	g.tasks <- g.task
	g.task = task{}
}

func (g *Group) finishTask(r taskResult) error {
	g.applying = false
	g.waiting.resolve(r.results, r.index)
	if r.state == nil {
		return nil
	}
	klog.InfoS("snapshot-taken", "group", g.config.Group, "index", r.index, "bytes", len(r.state))
	return g.core.compact(r.index, r.state)
}

// sleep waits for a tick.
func (g *Group) sleep(ctx context.Context) error {
	timer := time.NewTimer(g.config.Tick)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
