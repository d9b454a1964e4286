// Package ledger grants each once-only operation at most one dispatch that may
// run. State is replicated by a group; Desk serves it on a control host; Client
// asks for claims on an entry host.
package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Error is the class of the ledger's errors.
var Error = errs.Class("ledger")

const (
	// HostLease is for how long an entry host that is not heard of counts as
	// alive.
	HostLease = 30 * time.Second
	// MaxEntries bounds the entries of a group.
	MaxEntries = 4_000_000
)

// holder is an entry host as the ledger knows it.
type holder struct {
	// Incarnation is the newest one heard of. It never goes back.
	Incarnation mustardramp.Incarnation `cbor:"1,keyasint"`
	// Heard is the ledger's time of its last command.
	Heard Millis `cbor:"2,keyasint"`
}

// State is the replicated state of one group. Its zero value is empty.
type State struct {
	// mu guards the rest: Apply runs beside Show and peek.
	mu      sync.RWMutex
	entries map[mustardramp.ClaimID]*entry
	holders map[mustardramp.HostName]holder
	// clocks holds the latest time that each control host told.
	clocks map[mustardramp.HostName]Millis
	// now is the ledger's time. It never goes back.
	now Millis
	// told is the time that the present command tells, at least now and at
	// most a lease ahead of it: leases start from it, so that they do not end
	// early when now catches up.
	told Millis
	// swept is the time of the last sweep of holders.
	swept    Millis
	expiries expiries
	// limit replaces MaxEntries when it is above 0.
	limit int
}

var _ mustardramp.Machine = (*State)(nil)

// Apply implements mustardramp.Machine.
func (s *State) Apply(_ mustardramp.Index, encoded []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Command
	if err := decode(encoded, &c); err != nil {
		return nil
	}
	s.tell(c.Member, c.At)
	s.expire()
	encodedResult, err := encode(s.apply(&c))
	if err != nil {
		return nil
	}
	return encodedResult
}

func (s *State) apply(c *Command) Result {
	switch {
	case c.Claim != nil:
		return s.claim(c.Claim)
	case c.Settle != nil:
		return s.settle(c.Settle)
	case c.Abandon != nil:
		return s.abandon(c.Abandon)
	case c.Alive != nil:
		return s.alive(c.Alive)
	case c.Decide != nil:
		return s.decide(c.Decide)
	default:
		return Result{}
	}
}

// tell takes in a control host's time. The ledger's time is the lower median
// of all, so that one clock that runs ahead moves nothing.
func (s *State) tell(member mustardramp.HostName, at Millis) {
	if s.clocks == nil {
		s.clocks = map[mustardramp.HostName]Millis{}
	}
	s.clocks[member] = max(s.clocks[member], at)
	var times []Millis
	for _, t := range s.clocks {
		times = append(times, t)
	}
	slices.Sort(times)
	s.now = max(s.now, times[(len(times)-1)/2])
	s.told = min(max(at, s.now), s.now+Millis(HostLease.Milliseconds()))
}

// hear notes a sign of life of an entry host. It reports false when the host
// has started again since.
func (s *State) hear(host mustardramp.HostName, incarnation mustardramp.Incarnation) bool {
	if s.holders == nil {
		s.holders = map[mustardramp.HostName]holder{}
	}
	known := s.holders[host]
	if incarnation < known.Incarnation {
		return false
	}
	s.holders[host] = holder{Incarnation: incarnation, Heard: s.told}
	return true
}

// isAlive reports whether the holder of a claim may still settle it soon.
func (s *State) isAlive(e *entry) bool {
	known := s.holders[e.Host]
	return known.Incarnation == e.Incarnation && s.now-known.Heard <= Millis(HostLease.Milliseconds())
}

func (s *State) claim(c *Question) Result {
	if !s.hear(c.Claim.Host, c.Claim.Incarnation) {
		return Result{Fault: FaultStale}
	}
	e := s.entries[c.Claim.ID]
	if e == nil {
		if s.isFull() {
			return Result{Fault: FaultFull}
		}
		e = s.add(c.Claim)
	}
	if e.Digest != c.Claim.Digest {
		return Result{Reply: mustardramp.ClaimReply{State: mustardramp.ClaimMismatch}}
	}
	burned := slices.Contains(e.Burned, c.Nonce)
	switch {
	case e.State == Free && burned:
		return Result{Fault: FaultBurned}
	case e.State == Free:
		e.grant(c)
		s.touch(e)
	case e.State == Unknown && e.isAskedBy(c) && !burned:
		// The holder was given up too early: it is still asking, so that it
		// has dispatched nothing.
		e.State = Claimed
		s.touch(e)
	}
	reply := s.reply(e, c)
	if reply.State != mustardramp.ClaimGranted {
		// The asker takes this for the answer: a copy that comes later must
		// not be granted to nobody.
		e.burn(c.Nonce)
	}
	return Result{Reply: reply}
}

// reply answers a question about an entry that is not free.
func (s *State) reply(e *entry, c *Question) mustardramp.ClaimReply {
	switch {
	case e.State == Settled:
		return mustardramp.ClaimReply{State: mustardramp.ClaimRan, Attempt: e.Attempt, Answer: e.Answer}
	case e.State == Claimed && e.isAskedBy(c):
		return mustardramp.ClaimReply{State: mustardramp.ClaimGranted, Attempt: e.Attempt}
	case e.State == Claimed && s.isAlive(e):
		return mustardramp.ClaimReply{State: mustardramp.ClaimRunning, Attempt: e.Attempt}
	case e.State == Claimed:
		e.State = Unknown
		s.touch(e)
	}
	return mustardramp.ClaimReply{State: mustardramp.ClaimUnsettled, Attempt: e.Attempt}
}

func (s *State) isFull() bool {
	limit := s.limit
	if limit <= 0 {
		limit = MaxEntries
	}
	return len(s.entries) >= limit
}

func (s *State) add(c mustardramp.Claim) *entry {
	if s.entries == nil {
		s.entries = map[mustardramp.ClaimID]*entry{}
	}
	e := newEntry(c)
	s.entries[c.ID] = e
	s.touch(e)
	return e
}

// settle takes the word of the holder of a claim. It counts for the last
// attempt only, and also after the holder was given up: it alone knows.
func (s *State) settle(m *mustardramp.Settlement) Result {
	s.hear(m.Host, m.Incarnation)
	e := s.entries[m.ID]
	if e != nil && e.Attempt > m.Attempt && m.Outcome == mustardramp.NotRun {
		// Another attempt was granted because this one had not run.
		return Result{}
	}
	if e == nil || !e.isHeldBy(m.Host, m.Incarnation) || e.Attempt != m.Attempt {
		return Result{Fault: FaultStale}
	}
	if !e.isOpen() {
		return Result{Fault: e.repeated(m.Outcome)}
	}
	e.settle(m.Outcome, m.Answer)
	s.touch(e)
	return Result{}
}

// abandon frees what a question was granted, now or later: its asker has
// dispatched nothing and will not.
func (s *State) abandon(a *Question) Result {
	e := s.entries[a.Claim.ID]
	if e == nil {
		if s.isFull() {
			return Result{Fault: FaultFull}
		}
		e = s.add(a.Claim)
	}
	e.burn(a.Nonce)
	if e.isOpen() && e.isHeldBy(a.Claim.Host, a.Claim.Incarnation) && e.Nonce == a.Nonce {
		e.settle(mustardramp.NotRun, nil)
	}
	s.touch(e)
	return Result{}
}

func (s *State) alive(a *Sign) Result {
	if !s.hear(a.Host, a.Incarnation) {
		return Result{Fault: FaultStale}
	}
	return Result{}
}

// decide takes an operator's word on an operation whose holder is gone.
func (s *State) decide(d *Decision) Result {
	e := s.entries[d.ID]
	if e == nil {
		return Result{Fault: FaultMissing}
	}
	if e.Decided != nil && *e.Decided == d.Who {
		return Result{View: e.view()}
	}
	if e.State == Claimed && s.isAlive(e) {
		return Result{Fault: FaultRunning, View: e.view()}
	}
	if !e.isOpen() {
		return Result{Fault: FaultSettled, View: e.view()}
	}
	who := d.Who
	e.settle(d.Outcome, nil)
	e.Decided = &who
	s.touch(e)
	return Result{View: e.view()}
}

// Show returns an operation's entry.
func (s *State) Show(id mustardramp.ClaimID) (View, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[id]
	if e == nil {
		return View{}, false
	}
	view := e.view()
	if e.State == Claimed && !s.isAlive(e) {
		view.State = Unknown
	}
	return *view, true
}

// peek answers a question that would change nothing: the operation ran, or is
// claimed by another question of a host that is alive.
func (s *State) peek(c *Question) (mustardramp.ClaimReply, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[c.Claim.ID]
	if e == nil || e.Digest != c.Claim.Digest {
		return mustardramp.ClaimReply{}, false
	}
	switch {
	case e.State == Settled:
		return mustardramp.ClaimReply{State: mustardramp.ClaimRan, Attempt: e.Attempt, Answer: e.Answer}, true
	case e.State == Claimed && e.Nonce != c.Nonce && s.isAlive(e):
		return mustardramp.ClaimReply{State: mustardramp.ClaimRunning, Attempt: e.Attempt}, true
	default:
		return mustardramp.ClaimReply{}, false
	}
}

// Counts are the entries of a group by state.
type Counts map[EntryState]int

// Counts counts the entries.
func (s *State) Counts() Counts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	counts := Counts{}
	for _, e := range s.entries {
		counts[e.State]++
	}
	return counts
}

// isEmpty reports whether nothing waits for the ledger's time.
func (s *State) isEmpty() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries) == 0
}
