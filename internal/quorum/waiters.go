package quorum

import (
	"context"
	"math/rand/v2"

	"github.com/mustardramp/mustardramp"
)

// proposalTimeoutTicks limits the wait for the result of a submitted proposal,
// which may have been lost on its way to the leader.
const proposalTimeoutTicks = 30

// loopCall is a function that runs on the group's loop.
type loopCall func(g *Group)

// proposal is a command whose caller waits for the result.
type proposal struct {
	ctx     context.Context
	command []byte
	reply   chan proposalResult
	// ageTicks counts the ticks since the proposal was submitted.
	ageTicks int
}

type proposalResult struct {
	value []byte
	err   error
}

// pendingRead is a read that waits for its index to be confirmed and applied. The
// index is 0 until it is confirmed.
type pendingRead struct {
	ctx   context.Context
	index mustardramp.Index
	reply chan error
}

// waiters holds the callers that wait for the log. Only the group's loop uses it.
type waiters struct {
	// lastNumber is the number of the last proposal or read. It starts at a
	// random value, so that numbers are not reused after a restart.
	lastNumber uint64
	// unsubmitted proposals wait for a leader that accepts them, deferred ones for the
	// next tick.
	unsubmitted []*proposal
	deferred    []*proposal
	submitted   map[ProposalID]*proposal
	reads       map[uint64]*pendingRead
	// leader and term are those to which the submitted proposals were sent.
	leader MemberID
	term   Term
	// appliedIndex is the index of the last applied entry.
	appliedIndex mustardramp.Index
}

func newWaiters() *waiters {
	return &waiters{
		lastNumber: rand.Uint64() >> 1,
		submitted:  map[ProposalID]*proposal{},
		reads:      map[uint64]*pendingRead{},
	}
}

// submit proposes the unsubmitted commands that a leader is likely to accept. Proposals
// that were submitted to an earlier leader fail, since their outcome is unknown.
func (w *waiters) submit(c *core) {
	if c.leader != w.leader || c.hardState.Term != w.term {
		w.leader, w.term = c.leader, c.hardState.Term
		w.failSubmitted("the leader changed")
	}
	var entries []Entry
	var held []*proposal
	for _, p := range w.unsubmitted {
		if !c.mayPropose(p.command) {
			held = append(held, p)
			continue
		}
		w.lastNumber++
		id := ProposalID{Member: c.self.ID, Number: w.lastNumber}
		w.submitted[id] = p
		entries = append(entries, Entry{Kind: EntryCommand, Proposal: id, Command: p.command})
	}
	w.unsubmitted = held
	if len(entries) > 0 {
		c.propose(entries)
	}
}

// failSubmitted fails all submitted proposals with an unknown outcome.
func (w *waiters) failSubmitted(reason string) {
	for id, p := range w.submitted {
		delete(w.submitted, id)
		p.reply <- proposalResult{err: ErrUnknown.New("%s", reason)}
	}
}

// deferRefused schedules proposals that were not appended for submission at the
// next tick.
func (w *waiters) deferRefused(ids []ProposalID) {
	for _, id := range ids {
		if p := w.submitted[id]; p != nil {
			delete(w.submitted, id)
			p.ageTicks = 0
			w.deferred = append(w.deferred, p)
		}
	}
}

// resolve returns the results of applied proposals to their callers and finishes
// the reads up to the applied index.
func (w *waiters) resolve(results []appliedProposal, index mustardramp.Index) {
	for _, r := range results {
		if p := w.submitted[r.id]; p != nil {
			delete(w.submitted, r.id)
			p.reply <- proposalResult{value: r.value}
		}
	}
	w.appliedIndex = max(w.appliedIndex, index)
	for request, r := range w.reads {
		w.finishRead(request, r)
	}
}

// confirmReads records the confirmed indexes of reads. Refused reads are requested
// again at the next tick.
func (w *waiters) confirmReads(results []readResult) {
	for _, result := range results {
		r := w.reads[result.request]
		if r == nil || result.refused {
			continue
		}
		r.index = result.index
		w.finishRead(result.request, r)
	}
}

// finishRead releases the caller of a read whose index is confirmed and applied.
func (w *waiters) finishRead(request uint64, r *pendingRead) {
	if r.index == 0 || r.index > w.appliedIndex {
		return
	}
	delete(w.reads, request)
	r.reply <- nil
}

// startRead requests a confirmed index for a read.
func (w *waiters) startRead(c *core, r *pendingRead) {
	w.lastNumber++
	w.reads[w.lastNumber] = r
	c.read(w.lastNumber)
}

// tick drops canceled callers, fails proposals whose result takes too long and
// repeats the requests of reads without an index, which may have been lost.
func (w *waiters) tick(c *core) {
	w.unsubmitted = append(w.unsubmitted, w.deferred...)
	w.deferred = nil
	w.unsubmitted = dropCanceled(w.unsubmitted)
	for id, p := range w.submitted {
		p.ageTicks++
		if p.ctx.Err() != nil || p.ageTicks > proposalTimeoutTicks {
			delete(w.submitted, id)
			p.reply <- proposalResult{err: ErrUnknown.New("no result in %d ticks", proposalTimeoutTicks)}
		}
	}
	for request, r := range w.reads {
		switch {
		case r.ctx.Err() != nil:
			delete(w.reads, request)
		case r.index == 0:
			c.read(request)
		}
	}
}

// dropCanceled returns the proposals whose context has not ended.
func dropCanceled(proposals []*proposal) []*proposal {
	var kept []*proposal
	for _, p := range proposals {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// Propose has a command committed by a quorum and returns the result of the state
// machine. After an error of class ErrUnknown the command may still be committed
// later.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{ctx: ctx, command: command, reply: make(chan proposalResult, 1)}
	submit := func(g *Group) { g.waiters.unsubmitted = append(g.waiters.unsubmitted, p) }
	if err := g.callLoop(ctx, submit); err != nil {
		return nil, err
	}
	select {
	case r := <-p.reply:
		return r.value, r.err
	case <-ctx.Done():
		return nil, ErrUnknown.Wrap(ctx.Err())
	case <-g.stopped:
		return nil, ErrUnknown.New("the group stopped")
	}
}

// Confirm returns once this member has applied all entries that were committed
// before the call, as confirmed by a quorum. A read of the state machine after it
// is linearizable.
func (g *Group) Confirm(ctx context.Context) error {
	r := &pendingRead{ctx: ctx, reply: make(chan error, 1)}
	if err := g.callLoop(ctx, func(g *Group) { g.waiters.startRead(g.core, r) }); err != nil {
		return err
	}
	select {
	case err := <-r.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return ErrStopped.New("%s", g.config.Group)
	}
}

// Remove removes a member from the group and returns once the change is
// committed.
func (g *Group) Remove(ctx context.Context, id MemberID) error {
	for {
		if err := g.callLoop(ctx, func(g *Group) { g.core.requestChange(Change{Remove: id}) }); err != nil {
			return err
		}
		if err := g.waitTick(ctx); err != nil {
			return err
		}
		status := g.Status()
		if _, ok := status.Membership.Member(id); !ok && status.MembershipCommitted {
			return nil
		}
	}
}

// callLoop passes fn to the loop, which runs it. It does not wait for fn to
// finish.
func (g *Group) callLoop(ctx context.Context, fn loopCall) error {
	select {
	case g.calls <- fn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return ErrStopped.New("%s", g.config.Group)
	}
}
