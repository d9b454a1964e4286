// Package ledger records claims of once-only operations, so that at most one
// dispatch of each operation runs. State is replicated by a group of control hosts,
// Server serves it on each of them, and Client requests claims from an entry host.
package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Error is the class of errors of this package.
var Error = errs.Class("ledger")

const (
	// HostLease is how long an entry host counts as alive after its last
	// contact.
	HostLease = 30 * time.Second
	// MaxEntries bounds the entries of one group.
	MaxEntries = 4_000_000
)

// holder is what the ledger knows of an entry host.
type holder struct {
	// Incarnation is the newest known incarnation. It never decreases.
	Incarnation mustardramp.Incarnation `cbor:"1,keyasint"`
	// LastContact is the command time of the last command of the host.
	LastContact Millis `cbor:"2,keyasint"`
}

// State is the replicated state of one group. Its zero value is empty.
type State struct {
	// mu guards the other fields: Apply runs concurrently with Show and peek.
	mu      sync.RWMutex
	entries map[mustardramp.ClaimID]*entry
	holders map[mustardramp.HostName]holder
	// clocks holds the latest time that each control host has reported.
	clocks map[mustardramp.HostName]Millis
	// now is the time of the ledger's clock. It never decreases.
	now Millis
	// commandTime is the time of the current command, limited to the range from
	// now to one lease later. Leases start from it, so that they do not end early
	// when now catches up with the proposer's clock.
	commandTime Millis
	// lastSweep is the time of the last run of sweepHolders.
	lastSweep Millis
	expiries  expiries
	// limit replaces MaxEntries if it is above 0.
	limit int
}

var _ mustardramp.StateMachine = (*State)(nil)

// Apply implements mustardramp.StateMachine.
func (s *State) Apply(_ mustardramp.Index, encoded []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Command
	if err := decode(encoded, &c); err != nil {
		return nil
	}
	s.advanceClock(c.Member, c.At)
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
	case c.Heartbeat != nil:
		return s.heartbeat(c.Heartbeat)
	case c.Decide != nil:
		return s.decide(c.Decide)
	default:
		return Result{}
	}
}

// advanceClock records the time of a control host. The time of the ledger is the
// lower median of the times of all control hosts, so that one clock that runs
// ahead does not move it.
func (s *State) advanceClock(member mustardramp.HostName, at Millis) {
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
	s.commandTime = min(max(at, s.now), s.now+Millis(HostLease.Milliseconds()))
}

// recordContact renews the lease of an entry host. It reports false if a newer
// incarnation of the host is known.
func (s *State) recordContact(host mustardramp.HostName, incarnation mustardramp.Incarnation) bool {
	if s.holders == nil {
		s.holders = map[mustardramp.HostName]holder{}
	}
	known := s.holders[host]
	if incarnation < known.Incarnation {
		return false
	}
	s.holders[host] = holder{Incarnation: incarnation, LastContact: s.commandTime}
	return true
}

// isAlive reports whether the process that holds a claim has an unexpired lease.
func (s *State) isAlive(e *entry) bool {
	known := s.holders[e.Host]
	return known.Incarnation == e.Incarnation && s.now-known.LastContact <= Millis(HostLease.Milliseconds())
}

// claim answers a claim request and grants the claim if the operation is free.
func (s *State) claim(request *ClaimRequest) Result {
	if !s.recordContact(request.Claim.Host, request.Claim.Incarnation) {
		return Result{Fault: FaultStale}
	}
	e := s.entries[request.Claim.ID]
	if e == nil {
		if s.isFull() {
			return Result{Fault: FaultFull}
		}
		e = s.add(request.Claim)
	}
	if e.Digest != request.Claim.Digest {
		return Result{Reply: mustardramp.ClaimReply{State: mustardramp.ClaimMismatch}}
	}
	invalid := slices.Contains(e.InvalidNonces, request.Nonce)
	switch {
	case e.State == Free && invalid:
		return Result{Fault: FaultInvalidNonce}
	case e.State == Free:
		e.grant(request)
		s.touch(e)
	case e.State == Unknown && e.isGrantedTo(request) && !invalid:
		// The holder's lease ended although the holder is still requesting the
		// claim, so that it has dispatched nothing.
		e.State = Claimed
		s.touch(e)
	}
	reply := s.reply(e, request)
	if reply.State != mustardramp.ClaimGranted {
		// The sender accepts this reply as final. A later copy of the request must
		// not be granted, because nobody would use the claim.
		e.invalidate(request.Nonce)
	}
	return Result{Reply: reply}
}

// reply returns the reply to a request for an entry that is not free. An entry
// whose holder is no longer alive becomes Unknown.
func (s *State) reply(e *entry, request *ClaimRequest) mustardramp.ClaimReply {
	switch {
	case e.State == Settled:
		return mustardramp.ClaimReply{State: mustardramp.ClaimRan, Attempt: e.Attempt, Answer: e.Answer}
	case e.State == Claimed && e.isGrantedTo(request):
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

// Size returns the number of entries. Those with an unknown outcome stay until an operator
// settles them.
func (s *State) Size() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
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

// settle records the outcome that the holder of a claim reports. It counts only
// for the last attempt. It also counts after the holder's lease has ended, because
// only the holder knows the outcome.
func (s *State) settle(m *mustardramp.Settlement) Result {
	s.recordContact(m.Host, m.Incarnation)
	e := s.entries[m.ID]
	if e != nil && e.Attempt > m.Attempt && m.Outcome == mustardramp.NotRun {
		// Another attempt was granted because this one had not run.
		return Result{}
	}
	if e == nil || !e.isHeldBy(m.Host, m.Incarnation) || e.Attempt != m.Attempt {
		return Result{Fault: FaultStale}
	}
	if !e.canSettle() {
		return Result{Fault: e.checkRepeat(m.Outcome)}
	}
	e.settle(m.Outcome, m.Answer)
	s.touch(e)
	return Result{}
}

// abandon frees the claim that a request was granted and prevents a later grant.
// The sender of the request has dispatched nothing and will not.
func (s *State) abandon(request *ClaimRequest) Result {
	e := s.entries[request.Claim.ID]
	if e == nil {
		if s.isFull() {
			return Result{Fault: FaultFull}
		}
		e = s.add(request.Claim)
	}
	e.invalidate(request.Nonce)
	if e.canSettle() && e.isHeldBy(request.Claim.Host, request.Claim.Incarnation) && e.Nonce == request.Nonce {
		e.settle(mustardramp.NotRun, nil)
	}
	s.touch(e)
	return Result{}
}

func (s *State) heartbeat(h *Heartbeat) Result {
	if !s.recordContact(h.Host, h.Incarnation) {
		return Result{Fault: FaultStale}
	}
	return Result{}
}

// decide records the outcome that an operator states for an operation whose
// holder is no longer alive.
func (s *State) decide(d *Decision) Result {
	e := s.entries[d.ID]
	if e == nil {
		return Result{Fault: FaultMissing}
	}
	if e.DecidedBy != nil && *e.DecidedBy == d.Operator {
		return Result{View: e.view()}
	}
	if e.State == Claimed && s.isAlive(e) {
		return Result{Fault: FaultRunning, View: e.view()}
	}
	if !e.canSettle() {
		return Result{Fault: FaultSettled, View: e.view()}
	}
	operator := d.Operator
	e.settle(d.Outcome, nil)
	e.DecidedBy = &operator
	s.touch(e)
	return Result{View: e.view()}
}

// Show returns the entry of an operation. An entry whose holder is no longer
// alive is shown as Unknown.
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

// peek answers a request without a change of state. It reports false unless the
// operation ran or another request of a live host holds the claim.
func (s *State) peek(request *ClaimRequest) (mustardramp.ClaimReply, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[request.Claim.ID]
	if e == nil || e.Digest != request.Claim.Digest {
		return mustardramp.ClaimReply{}, false
	}
	switch {
	case e.State == Settled:
		return mustardramp.ClaimReply{State: mustardramp.ClaimRan, Attempt: e.Attempt, Answer: e.Answer}, true
	case e.State == Claimed && e.Nonce != request.Nonce && s.isAlive(e):
		return mustardramp.ClaimReply{State: mustardramp.ClaimRunning, Attempt: e.Attempt}, true
	default:
		return mustardramp.ClaimReply{}, false
	}
}

// Counts holds the number of entries in each state.
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

// isEmpty reports whether there are no entries, and so nothing that could expire.
func (s *State) isEmpty() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries) == 0
}
