package quota

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Explanation describes to operators what Take would do with a request now.
type Explanation struct {
	// Decision is what this host decides.
	Decision Decision
	// Denial is set if the request would be refused. Its RetryAfter is the least time
	// that callers are told, since the spread is drawn at random.
	Denial *mustardramp.Denial
	// Keeper is the host that lends the tokens, as far as this host knows, or empty.
	Keeper mustardramp.HostName
	// Age is the time since the keeper last answered. It is only valid if IsAgeKnown is
	// true.
	Age        time.Duration
	IsAgeKnown bool
	// Tokens is the number of tokens of the workspace that can be lent now. It is only
	// valid if this host keeps the workspace.
	Tokens     int
	IsKeptHere bool
	// Admitted and Refused count the requests of this host. They are only valid if
	// IsUsed is true.
	Admitted, Refused int64
	IsUsed            bool
}

// Decision is what a host decides on a request of a workspace with a limit.
type Decision uint8

// The decisions.
const (
	// AsksKeeper means that another host decides, which is not asked.
	AsksKeeper Decision = iota
	// Admits means that the request would be admitted.
	Admits
	// Refuses means that the request would be refused.
	Refuses
	// Draws means that a random number decides.
	Draws
)

// Explain returns what Take would do with a request now. It decides on copies of the
// state: it takes no token, draws no random number and calls no other host.
func (p *Pool) Explain(w mustardramp.WorkspaceName, q mustardramp.Quota) Explanation {
	now := p.config.Clock.Now()
	state := holder{}
	out := Explanation{}
	if value, ok := p.holders.Load(w); ok {
		h := value.(*holderState)
		h.mu.Lock()
		state = h.holder
		state.batches = slices.Clone(h.batches)
		h.mu.Unlock()
		out.Admitted, out.Refused, out.IsUsed = state.admitted, state.refused, true
		if state.keeper != "" {
			out.Keeper, out.Age, out.IsAgeKnown = state.keeper, now.Sub(state.heardAt), !state.heardAt.IsZero()
		}
	}
	state.quota = q
	kept := p.copyKeeper(w, q, now)
	if kept != nil {
		out.Keeper, out.IsKeptHere, out.Tokens = p.config.Self.Host, true, max(0, min(int(kept.bucket.level), kept.bucket.windowRoom()))
		out.Age, out.IsAgeKnown = 0, true
	}
	switch p.decide(state, now) {
	case admitted:
		out.Decision = Admits
	case refused:
		out.Decision, out.Denial = Refuses, state.denial(w, now, 0)
	case undecided:
		out.Decision = Draws
	case mustWait:
		out.lend(p, w, state, kept, now)
	}
	return out
}

// undecided means that the outcome depends on a random number.
const undecided = refused + 1

// decide returns the decision of a holder for all random numbers. The holder is a copy
// except for its batches, which no other goroutine uses.
func (p *Pool) decide(h holder, now time.Time) outcome {
	hosts := len(p.fleet.Load().electorate.hosts)
	low, high := h, h
	low.batches, high.batches = slices.Clone(h.batches), slices.Clone(h.batches)
	first := low.arrive(now, hosts, 0)
	if high.arrive(now, hosts, 1) != first {
		return undecided
	}
	return first
}

// copyKeeper returns a copy of the state of a workspace that this host keeps, with its
// bucket as of now, or nil.
func (p *Pool) copyKeeper(w mustardramp.WorkspaceName, q mustardramp.Quota, now time.Time) *keeper {
	value, ok := p.keepers.Load(w)
	if !ok || p.stopping.Load() {
		return nil
	}
	k := value.(*keeperState)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isKeeping(now) {
		return nil
	}
	kept := k.keeper
	kept.askers = maps.Clone(k.askers)
	kept.bucket.configure(now, q, p.config.Index())
	return &kept
}

// lend adds the answer of the keeper if that is this host.
func (e *Explanation) lend(p *Pool, w mustardramp.WorkspaceName, h holder, kept *keeper, now time.Time) {
	if kept == nil {
		e.Decision = AsksKeeper
		return
	}
	h.expire(now)
	answer := kept.lend(now, &Request{Workspace: w, Host: p.config.Self.Host, Want: 1, Unused: h.unused})
	if h.receive(now, now, p.config.Self.Host, answer, 1) > 0 {
		e.Decision = Admits
		return
	}
	e.Decision, e.Denial = Refuses, h.denial(w, now, 0)
}

// denial returns the denial of a request of the workspace. The draw from 0 to 1 spreads
// the times after which refused callers return, so that they do not come together.
func (h *holder) denial(w mustardramp.WorkspaceName, now time.Time, draw float64) *mustardramp.Denial {
	wait := max(minRetryAfter, h.retryAfter(now))
	return &mustardramp.Denial{
		Kind:   mustardramp.KindQuota,
		Reason: "The workspace has used up its quota.",
		Facts: []mustardramp.Fact{
			{Name: "workspace", Value: string(w)},
			{Name: "rate", Value: strconv.FormatFloat(h.quota.Rate, 'g', -1, 64)},
			{Name: "burst", Value: strconv.Itoa(h.quota.Burst)},
		},
		RetryAfter: wait + time.Duration(draw*float64(wait)/2),
	}
}
