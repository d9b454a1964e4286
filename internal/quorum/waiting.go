package quorum

import (
	"context"
	"math/rand/v2"

	"github.com/mustardramp/mustardramp"
)

// proposalTicks bounds the wait for the result of a submitted proposal: it may
// have been lost on its way to the leader.
const proposalTicks = 30

// call runs on the group's loop.
type call func(g *Group)

// proposal is a command that waits for its result.
type proposal struct {
	ctx     context.Context
	command []byte
	reply   chan proposalResult
	// age counts ticks since the proposal was submitted.
	age int
}

type proposalResult struct {
	value []byte
	err   error
}

// confirmation is a read that waits for its index to be applied.
type confirmation struct {
	ctx   context.Context
	index mustardramp.Index
	reply chan error
}

// waiting holds the callers that wait for the log. It belongs to the loop.
type waiting struct {
	// number names proposals and reads. It starts at random, so that names
	// are not used again after a restart.
	number uint64
	// parked proposals wait for a leader, held ones for the next tick.
	parked    []*proposal
	held      []*proposal
	submitted map[ProposalID]*proposal
	reads     map[uint64]*confirmation
	// leader and term are those to which the submitted ones went.
	leader  MemberID
	term    Term
	applied mustardramp.Index
}

func newWaiting() *waiting {
	return &waiting{
		number:    rand.Uint64() >> 1,
		submitted: map[ProposalID]*proposal{},
		reads:     map[uint64]*confirmation{},
	}
}

// follow submits what is parked. What went to an earlier leader has an unknown
// outcome.
func (w *waiting) follow(c *core) {
	if c.leader != w.leader || c.state.Term != w.term {
		w.leader, w.term = c.leader, c.state.Term
		w.failSubmitted("the leader changed")
	}
	if c.leader == 0 || len(w.parked) == 0 {
		return
	}
	list := make([]Entry, len(w.parked))
	for i, p := range w.parked {
		w.number++
		id := ProposalID{Member: c.self.ID, Number: w.number}
		w.submitted[id] = p
		list[i] = Entry{Kind: EntryCommand, Proposal: id, Command: p.command}
	}
	w.parked = nil
	c.propose(list)
}

func (w *waiting) failSubmitted(reason string) {
	for id, p := range w.submitted {
		delete(w.submitted, id)
		p.reply <- proposalResult{err: ErrUnknown.New("%s", reason)}
	}
}

// refused takes back proposals that the leader did not append.
func (w *waiting) refused(list []ProposalID) {
	for _, id := range list {
		if p := w.submitted[id]; p != nil {
			delete(w.submitted, id)
			p.age = 0
			w.held = append(w.held, p)
		}
	}
}

// resolve hands out the results of applied proposals.
func (w *waiting) resolve(results []applied, index mustardramp.Index) {
	for _, r := range results {
		if p := w.submitted[r.id]; p != nil {
			delete(w.submitted, r.id)
			p.reply <- proposalResult{value: r.value}
		}
	}
	w.applied = max(w.applied, index)
	for request, r := range w.reads {
		w.finishRead(request, r)
	}
}

// confirm takes in answers to reads. Refused ones are asked again at the next
// tick.
func (w *waiting) confirm(results []readResult) {
	for _, result := range results {
		r := w.reads[result.request]
		if r == nil || result.refused {
			continue
		}
		r.index = result.index
		w.finishRead(result.request, r)
	}
}

func (w *waiting) finishRead(request uint64, r *confirmation) {
	if r.index == 0 || r.index > w.applied {
		return
	}
	delete(w.reads, request)
	r.reply <- nil
}

// read asks for a confirmed index.
func (w *waiting) read(c *core, r *confirmation) {
	w.number++
	w.reads[w.number] = r
	c.read(w.number)
}

// tick drops callers that have gone and asks again what may have been lost.
func (w *waiting) tick(c *core) {
	w.parked = append(w.parked, w.held...)
	w.held = nil
	w.parked = alive(w.parked)
	for id, p := range w.submitted {
		p.age++
		if p.ctx.Err() != nil || p.age > proposalTicks {
			delete(w.submitted, id)
			p.reply <- proposalResult{err: ErrUnknown.New("no result in %d ticks", proposalTicks)}
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

func alive(list []*proposal) []*proposal {
	var kept []*proposal
	for _, p := range list {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// Propose commits a command by a quorum and returns what the machine returned.
// After an error of class ErrUnknown it may still be committed later.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{ctx: ctx, command: command, reply: make(chan proposalResult, 1)}
	submit := func(g *Group) { g.waiting.parked = append(g.waiting.parked, p) }
	if err := g.call(ctx, submit); err != nil {
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

// Confirm returns when a quorum has confirmed that this member has applied all
// that was committed before the call.
func (g *Group) Confirm(ctx context.Context) error {
	r := &confirmation{ctx: ctx, reply: make(chan error, 1)}
	if err := g.call(ctx, func(g *Group) { g.waiting.read(g.core, r) }); err != nil {
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

// Remove takes a member out of the group and returns when that is committed.
func (g *Group) Remove(ctx context.Context, id MemberID) error {
	for {
		if err := g.call(ctx, func(g *Group) { g.core.change(Change{Remove: id}) }); err != nil {
			return err
		}
		if err := g.sleep(ctx); err != nil {
			return err
		}
		status := g.Status()
		if _, ok := status.Membership.Member(id); !ok && status.Settled {
			return nil
		}
	}
}

// call runs fn on the loop.
func (g *Group) call(ctx context.Context, fn call) error {
	select {
	case g.calls <- fn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return ErrStopped.New("%s", g.config.Group)
	}
}
