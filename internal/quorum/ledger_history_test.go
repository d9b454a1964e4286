package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ledger"
)

// stepMillis is the length of a step in the ledger's time.
const stepMillis = 50

// ledgerFlaw names a rule of the ledger that a history breaks on purpose.
type ledgerFlaw int

const (
	soundLedger ledgerFlaw = iota
	// dispatchBeforeCommit sends the request when the claim is proposed.
	dispatchBeforeCommit
	// grantAfterDeath gives the claim of a dead holder to the next.
	grantAfterDeath
)

// phase is how far an entry host has come with one request.
type phase int

const (
	idle phase = iota
	claiming
	settling
)

// entryHost is an entry host with one request at a time. It may lose all its
// memory at any moment and start again.
type entryHost struct {
	id          int
	name        mustardramp.HostName
	incarnation mustardramp.Incarnation
	phase       phase
	claim       mustardramp.Claim
	nonce       ledger.Nonce
	attempt     uint64
	outcome     mustardramp.Outcome
	sending     attempt
	started     int64
	giveUp      int
}

// ledgerCall is one operation of a history: a claim, a settlement, or the
// abandonment of a claim.
type ledgerCall struct {
	key     mustardramp.OperationKey
	host    mustardramp.HostName
	born    mustardramp.Incarnation
	nonce   ledger.Nonce
	settle  bool
	abandon bool
	attempt uint64
	outcome mustardramp.Outcome
}

// ledgerHistory drives entry hosts against a group of ledgers and counts what
// runs at the backend.
type ledgerHistory struct {
	w          *world
	broken     ledgerFlaw
	hosts      []*entryHost
	operations []porcupine.Operation
	number     uint64
	clock      int64
	// runs counts the executions of each key at the backend.
	runs map[mustardramp.OperationKey]int
}

const (
	entryHosts  = 6
	ledgerKeys  = 60
	ledgerSteps = 2500
)

func newLedgerHistory(w *world, broken ledgerFlaw) *ledgerHistory {
	h := &ledgerHistory{w: w, broken: broken, runs: map[mustardramp.OperationKey]int{}}
	for i := range entryHosts {
		h.hosts = append(h.hosts, &entryHost{id: i, name: mustardramp.HostName(fmt.Sprint("entry-", i)), incarnation: 1})
	}
	w.makeMachine = func() mustardramp.Machine { return &ledger.State{} }
	for _, host := range w.hosts {
		w.nodes[host].machine = &ledger.State{}
	}
	w.applied = h.applied
	return h
}

func (h *ledgerHistory) time() int64 {
	h.clock++
	return h.clock
}

func (h *ledgerHistory) step(mayStart bool) {
	for _, e := range h.hosts {
		switch {
		case e.phase == idle && mayStart && h.w.random.IntN(6) == 0:
			h.start(e)
		case e.phase != idle && mayStart && h.w.random.IntN(400) == 0:
			h.crash(e)
		case e.phase == claiming && h.w.now >= e.giveUp:
			h.abandon(e)
		case e.phase != idle && h.w.now >= e.sending.until:
			h.send(e)
		}
	}
}

// crash has an entry host forget everything and start again.
func (h *ledgerHistory) crash(e *entryHost) {
	if e.phase == settling {
		// The settlement may yet be recorded, or never.
		h.record(e, ledgerCall{settle: true, attempt: e.attempt, outcome: e.outcome}, nil, h.forever(e))
	}
	if e.phase == claiming {
		h.record(e, ledgerCall{}, nil, h.forever(e))
	}
	e.id += entryHosts
	e.incarnation++
	e.phase = idle
}

// forever is the moment after all others, for operations without an answer.
func (h *ledgerHistory) forever(e *entryHost) int64 {
	return 1<<60 + int64(e.id)
}

func (h *ledgerHistory) start(e *entryHost) {
	h.number++
	e.phase = claiming
	e.nonce = ledger.Nonce(h.number)
	e.started = h.time()
	e.giveUp = h.w.now + 10*patience
	e.sending = attempt{}
	e.claim = mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: "mohor", Caller: "bench", Key: h.key()},
		Host:        e.name,
		Incarnation: e.incarnation,
		Keep:        24 * time.Hour,
	}
}

// key picks one of the keys of the present part of the history.
func (h *ledgerHistory) key() mustardramp.OperationKey {
	part := h.w.now * ledgerKeys / ledgerSteps
	return mustardramp.OperationKey(fmt.Sprint("key-", part+h.w.random.IntN(3)))
}

// abandon gives a question up. The entry host keeps at it until the ledger has
// it; here it counts as one more command under way.
func (h *ledgerHistory) abandon(e *entryHost) {
	h.propose(e, ledger.Command{Abandon: &ledger.Question{Claim: e.claim, Nonce: e.nonce}})
	h.record(e, ledgerCall{}, nil, h.forever(e))
	e.started = h.time()
	h.record(e, ledgerCall{abandon: true}, nil, h.forever(e))
	e.id += entryHosts
	e.phase = idle
}

func (h *ledgerHistory) send(e *entryHost) {
	if e.phase == settling {
		h.propose(e, ledger.Command{Settle: h.settlement(e)})
		return
	}
	h.propose(e, ledger.Command{Claim: &ledger.Question{Claim: e.claim, Nonce: e.nonce}})
	if h.broken == dispatchBeforeCommit && e.sending.node != nil {
		h.dispatch(e)
	}
}

func (h *ledgerHistory) settlement(e *entryHost) *mustardramp.Settlement {
	return &mustardramp.Settlement{
		ID:          e.claim.ID,
		Host:        e.name,
		Incarnation: e.incarnation,
		Attempt:     e.attempt,
		Outcome:     e.outcome,
	}
}

func (h *ledgerHistory) propose(e *entryHost, c ledger.Command) {
	h.number++
	a, ok := h.w.attempt(h.number)
	if !ok {
		return
	}
	e.sending = a
	c.Member = a.node.host
	c.At = ledger.Millis(1 + h.w.now*stepMillis)
	encoded, err := c.Encode()
	if err != nil {
		h.w.t.Fatal(err)
	}
	a.propose(h.w, encoded)
}

func (h *ledgerHistory) applied(n *node, entry Entry, data []byte) {
	for _, e := range h.hosts {
		if e.phase == idle || !e.sending.isBy(n, entry.Proposal.Number) {
			continue
		}
		r, err := ledger.DecodeResult(data)
		if err != nil {
			h.w.t.Fatal(err)
		}
		if e.phase == claiming {
			h.claimed(e, r)
			continue
		}
		h.settled(e, r)
	}
}

func (h *ledgerHistory) claimed(e *entryHost, r ledger.Result) {
	if r.Fault != ledger.FaultNone {
		e.phase = idle
		return
	}
	reply := r.Reply
	h.record(e, ledgerCall{}, &reply, h.time())
	dead := reply.State == mustardramp.ClaimUnsettled && h.broken == grantAfterDeath
	if reply.State != mustardramp.ClaimGranted && !dead {
		e.phase = idle
		return
	}
	e.attempt = reply.Attempt
	if h.broken != dispatchBeforeCommit {
		h.dispatch(e)
	}
	e.phase = settling
	e.started = h.time()
	e.sending = attempt{}
}

// dispatch sends the request to the backend, which runs it in most cases. The
// entry host then knows that it ran, that it did not, or neither.
func (h *ledgerHistory) dispatch(e *entryHost) {
	ran := h.w.random.IntN(4) > 0
	if ran {
		h.runs[e.claim.ID.Key]++
	}
	switch {
	case h.w.random.IntN(6) == 0:
		e.outcome = mustardramp.MayHaveRun
	case ran:
		e.outcome = mustardramp.Ran
	default:
		e.outcome = mustardramp.NotRun
	}
	if h.runs[e.claim.ID.Key] > 1 {
		h.w.violate("%s ran %d times", e.claim.ID.Key, h.runs[e.claim.ID.Key])
	}
}

func (h *ledgerHistory) settled(e *entryHost, r ledger.Result) {
	if r.Fault != ledger.FaultNone && h.broken == soundLedger {
		h.w.violate("settlement of %s by %s: %v", e.claim.ID.Key, e.name, r.Fault)
	}
	h.record(e, ledgerCall{settle: true, attempt: e.attempt, outcome: e.outcome}, &mustardramp.ClaimReply{}, h.time())
	e.phase = idle
}

func (h *ledgerHistory) record(e *entryHost, call ledgerCall, reply *mustardramp.ClaimReply, end int64) {
	call.key = e.claim.ID.Key
	call.host = e.name
	call.born = e.incarnation
	call.nonce = e.nonce
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: e.id,
		Input:    call,
		Call:     e.started,
		Output:   reply,
		Return:   end,
	})
}

func (h *ledgerHistory) isIdle() bool {
	for _, e := range h.hosts {
		if e.phase != idle {
			return false
		}
	}
	return true
}

// operationState is the model of one key.
type operationState struct {
	state   ledger.EntryState
	host    mustardramp.HostName
	born    mustardramp.Incarnation
	attempt uint64
	nonce   ledger.Nonce
}

// ledgerModel says what a ledger may answer. A claimed operation may be called
// unsettled at any moment, since its holder may be given up. An operation
// without an answer may have had any effect that is open to it.
var ledgerModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[mustardramp.OperationKey][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(ledgerCall).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{operationState{}} },
	Step: func(state, input, output any) []any {
		s := state.(operationState)
		call := input.(ledgerCall)
		reply := output.(*mustardramp.ClaimReply)
		switch {
		case call.settle:
			return settleSteps(s, call, reply)
		case call.abandon:
			return abandonSteps(s, call)
		default:
			return claimSteps(s, call, reply)
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func claimSteps(s operationState, call ledgerCall, reply *mustardramp.ClaimReply) []any {
	granted := operationState{ledger.Claimed, call.host, call.born, s.attempt + 1, call.nonce}
	if reply == nil {
		next := []any{s}
		if s.state == ledger.Free {
			next = append(next, granted)
		}
		return next
	}
	if reply.Attempt != s.attempt && reply.State != mustardramp.ClaimGranted {
		return nil
	}
	switch {
	case reply.State == mustardramp.ClaimGranted && s.state == ledger.Free && reply.Attempt == s.attempt+1:
		return []any{granted}
	case reply.State == mustardramp.ClaimRunning && s.state == ledger.Claimed:
		return []any{s}
	case reply.State == mustardramp.ClaimRan && s.state == ledger.Settled:
		return []any{s}
	case reply.State == mustardramp.ClaimUnsettled && (s.state == ledger.Claimed || s.state == ledger.Unknown):
		return []any{s}
	default:
		return nil
	}
}

func abandonSteps(s operationState, call ledgerCall) []any {
	next := []any{s}
	if s.nonce == call.nonce && (s.state == ledger.Claimed || s.state == ledger.Unknown) {
		s.state = ledger.Free
		next = append(next, s)
	}
	return next
}

func settleSteps(s operationState, call ledgerCall, reply *mustardramp.ClaimReply) []any {
	open := s.state == ledger.Claimed || s.state == ledger.Unknown
	if !open || s.host != call.host || s.born != call.born || s.attempt != call.attempt {
		if reply == nil {
			return []any{s}
		}
		return nil
	}
	settled := s
	switch call.outcome {
	case mustardramp.Ran:
		settled.state = ledger.Settled
	case mustardramp.NotRun:
		settled.state = ledger.Free
	default:
		settled.state = ledger.Unknown
	}
	if reply == nil {
		return []any{s, settled}
	}
	return []any{settled}
}

func runLedgerHistory(t *testing.T, seed uint64, broken ledgerFlaw) (h *ledgerHistory, err error) {
	t.Helper()
	w := newWorld(t, seed, 3+2*int(seed%2))
	if broken != soundLedger {
		defer guard(voteForAnyone, &err)
	} else {
		defer guard(soundWorld, &err)
	}
	w.compactEvery = 15
	h = newLedgerHistory(w, broken)
	w.runUntil(settle, "leader", func() bool { return w.leader() != nil })
	faults := &trouble{w: w, losses: 2}
	for range ledgerSteps {
		faults.step()
		h.step(true)
		w.step()
	}
	faults.end()
	for range 4 * settle {
		if h.isIdle() {
			break
		}
		h.step(false)
		w.step()
	}
	if !h.isIdle() {
		return h, fmt.Errorf("operations are stuck after all faults have ended")
	}
	return h, checkHistory(ledgerModel.ToModel(), h.operations)
}

func TestLedgerHistories(t *testing.T) {
	first, count := seedCount(t, 12)
	operations, runs := 0, 0
	for seed := first; seed < first+count; seed++ {
		h, err := runLedgerHistory(t, seed, soundLedger)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		operations += len(h.operations)
		runs += len(h.runs)
	}
	t.Logf("%d seeds from %d, %d operations, %d keys that ran", count, first, operations, runs)
}

func TestBrokenLedgerRulesAreSeen(t *testing.T) {
	const most = 100
	for name, broken := range map[string]ledgerFlaw{
		"dispatch before the commit":   dispatchBeforeCommit,
		"grant after a holder's death": grantAfterDeath,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= most; seed++ {
				if _, err := runLedgerHistory(t, seed, broken); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no broken history in %d, want one", most)
		})
	}
}
