package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ledger"
)

// stepMillis is the length of a step in milliseconds of the ledger's time.
const stepMillis = 50

// brokenLedgerRule is a rule of the ledger that a history breaks on purpose.
type brokenLedgerRule int

const (
	noBrokenLedgerRule brokenLedgerRule = iota
	// dispatchBeforeCommit sends the request as soon as the claim is proposed.
	dispatchBeforeCommit
	// grantAfterDeath grants the claim of a dead holder to another host.
	grantAfterDeath
)

// phase is the progress of an entry host with a request.
type phase int

const (
	idle phase = iota
	claiming
	settling
)

// entryHost simulates an entry host with one request at a time. It may crash and
// restart without its memory at any time.
type entryHost struct {
	id             int
	name           mustardramp.HostName
	incarnation    mustardramp.Incarnation
	phase          phase
	claim          mustardramp.Claim
	nonce          ledger.Nonce
	attempt        uint64
	outcome        mustardramp.Outcome
	currentAttempt attempt
	started        int64
	abandonAt      int
}

// ledgerCall is one operation of a history: a claim, a settlement, or the
// abandonment of a claim.
type ledgerCall struct {
	key           mustardramp.OperationKey
	host          mustardramp.HostName
	incarnation   mustardramp.Incarnation
	nonce         ledger.Nonce
	isSettlement  bool
	isAbandonment bool
	attempt       uint64
	outcome       mustardramp.Outcome
}

// ledgerHistory runs entry hosts against a group of ledgers, records their
// operations and counts the executions at the backend.
type ledgerHistory struct {
	sim        *simulation
	brokenRule brokenLedgerRule
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

func newLedgerHistory(sim *simulation, broken brokenLedgerRule) *ledgerHistory {
	h := &ledgerHistory{sim: sim, brokenRule: broken, runs: map[mustardramp.OperationKey]int{}}
	for i := range entryHosts {
		h.hosts = append(h.hosts, &entryHost{id: i, name: mustardramp.HostName(fmt.Sprint("entry-", i)), incarnation: 1})
	}
	sim.makeMachine = func() mustardramp.StateMachine { return &ledger.State{} }
	for _, host := range sim.hosts {
		sim.nodes[host].machine = &ledger.State{}
	}
	sim.onApplied = h.handleApplied
	return h
}

// nextTime returns a logical time later than all earlier ones.
func (h *ledgerHistory) nextTime() int64 {
	h.clock++
	return h.clock
}

// step advances each entry host: it may start a request or crash if mayStart is
// set, abandon a claim, or submit its operation again.
func (h *ledgerHistory) step(mayStart bool) {
	for _, e := range h.hosts {
		switch {
		case e.phase == idle && mayStart && h.sim.random.IntN(6) == 0:
			h.start(e)
		case e.phase != idle && mayStart && h.sim.random.IntN(400) == 0:
			h.crash(e)
		case e.phase == claiming && h.sim.now >= e.abandonAt:
			h.abandon(e)
		case e.phase != idle && h.sim.now >= e.currentAttempt.deadline:
			h.send(e)
		}
	}
}

// crash restarts an entry host without its memory.
func (h *ledgerHistory) crash(e *entryHost) {
	if e.phase == settling {
		// The settlement may still be committed later, or never.
		h.record(e, ledgerCall{isSettlement: true, attempt: e.attempt, outcome: e.outcome}, nil, h.endOfHistory(e))
	}
	if e.phase == claiming {
		h.record(e, ledgerCall{}, nil, h.endOfHistory(e))
	}
	e.id += entryHosts
	e.incarnation++
	e.phase = idle
}

// endOfHistory returns a time after all others. It is the return time of operations
// without a reply.
func (h *ledgerHistory) endOfHistory(e *entryHost) int64 {
	return 1<<60 + int64(e.id)
}

func (h *ledgerHistory) start(e *entryHost) {
	h.number++
	e.phase = claiming
	e.nonce = ledger.Nonce(h.number)
	e.started = h.nextTime()
	e.abandonAt = h.sim.now + 10*attemptTimeoutSteps
	e.currentAttempt = attempt{}
	e.claim = mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: "mohor", Caller: "bench", Key: h.key()},
		Host:        e.name,
		Incarnation: e.incarnation,
		Keep:        24 * time.Hour,
	}
}

// key picks one of a few keys. The choice moves on as the history proceeds.
func (h *ledgerHistory) key() mustardramp.OperationKey {
	part := h.sim.now * ledgerKeys / ledgerSteps
	return mustardramp.OperationKey(fmt.Sprint("key-", part+h.sim.random.IntN(3)))
}

// abandon abandons a claim. A real entry host repeats the command until the ledger
// has recorded it; here it is proposed once and its outcome is unknown.
func (h *ledgerHistory) abandon(e *entryHost) {
	h.propose(e, ledger.Command{Abandon: &ledger.ClaimRequest{Claim: e.claim, Nonce: e.nonce}})
	h.record(e, ledgerCall{}, nil, h.endOfHistory(e))
	e.started = h.nextTime()
	h.record(e, ledgerCall{isAbandonment: true}, nil, h.endOfHistory(e))
	e.id += entryHosts
	e.phase = idle
}

func (h *ledgerHistory) send(e *entryHost) {
	if e.phase == settling {
		h.propose(e, ledger.Command{Settle: h.settlement(e)})
		return
	}
	h.propose(e, ledger.Command{Claim: &ledger.ClaimRequest{Claim: e.claim, Nonce: e.nonce}})
	if h.brokenRule == dispatchBeforeCommit && e.currentAttempt.node != nil {
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
	a, ok := h.sim.newAttempt(h.number)
	if !ok {
		return
	}
	e.currentAttempt = a
	c.Member = a.node.host
	c.At = ledger.Millis(1 + h.sim.now*stepMillis)
	encoded, err := c.Encode()
	if err != nil {
		h.sim.t.Fatal(err)
	}
	a.propose(h.sim, encoded)
}

func (h *ledgerHistory) handleApplied(n *node, entry Entry, data []byte) {
	for _, e := range h.hosts {
		if e.phase == idle || !e.currentAttempt.isAnsweredBy(n, entry.Proposal.Number) {
			continue
		}
		r, err := ledger.DecodeResult(data)
		if err != nil {
			h.sim.t.Fatal(err)
		}
		if e.phase == claiming {
			h.handleClaimReply(e, r)
			continue
		}
		h.handleSettlementReply(e, r)
	}
}

func (h *ledgerHistory) handleClaimReply(e *entryHost, r ledger.Result) {
	if r.Fault != ledger.FaultNone {
		e.phase = idle
		return
	}
	reply := r.Reply
	h.record(e, ledgerCall{}, &reply, h.nextTime())
	dead := reply.State == mustardramp.ClaimUnsettled && h.brokenRule == grantAfterDeath
	if reply.State != mustardramp.ClaimGranted && !dead {
		e.phase = idle
		return
	}
	e.attempt = reply.Attempt
	if h.brokenRule != dispatchBeforeCommit {
		h.dispatch(e)
	}
	e.phase = settling
	e.started = h.nextTime()
	e.currentAttempt = attempt{}
}

// dispatch sends the request to the backend, which runs it in most cases. The
// entry host learns that it ran, that it did not run, or neither.
func (h *ledgerHistory) dispatch(e *entryHost) {
	ran := h.sim.random.IntN(4) > 0
	if ran {
		h.runs[e.claim.ID.Key]++
	}
	switch {
	case h.sim.random.IntN(6) == 0:
		e.outcome = mustardramp.MayHaveRun
	case ran:
		e.outcome = mustardramp.Ran
	default:
		e.outcome = mustardramp.NotRun
	}
	if h.runs[e.claim.ID.Key] > 1 {
		h.sim.failInvariant("%s ran %d times", e.claim.ID.Key, h.runs[e.claim.ID.Key])
	}
}

func (h *ledgerHistory) handleSettlementReply(e *entryHost, r ledger.Result) {
	if r.Fault != ledger.FaultNone && h.brokenRule == noBrokenLedgerRule {
		h.sim.failInvariant("settlement of %s by %s: %v", e.claim.ID.Key, e.name, r.Fault)
	}
	h.record(e, ledgerCall{isSettlement: true, attempt: e.attempt, outcome: e.outcome}, &mustardramp.ClaimReply{}, h.nextTime())
	e.phase = idle
}

// record adds an operation to the history. The reply is nil if none arrived.
func (h *ledgerHistory) record(e *entryHost, call ledgerCall, reply *mustardramp.ClaimReply, end int64) {
	call.key = e.claim.ID.Key
	call.host = e.name
	call.incarnation = e.incarnation
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

// operationState is the model's state of one key.
type operationState struct {
	state       ledger.EntryState
	host        mustardramp.HostName
	incarnation mustardramp.Incarnation
	attempt     uint64
	nonce       ledger.Nonce
}

// ledgerModel specifies the replies that a ledger may give. A claimed operation may
// be reported as unsettled at any time, since its holder may be declared dead. An
// operation without a reply may have had any of its possible effects.
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
		case call.isSettlement:
			return settleSteps(s, call, reply)
		case call.isAbandonment:
			return abandonSteps(s, call)
		default:
			return claimSteps(s, call, reply)
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// claimSteps returns the possible states after a claim.
func claimSteps(s operationState, call ledgerCall, reply *mustardramp.ClaimReply) []any {
	granted := operationState{ledger.Claimed, call.host, call.incarnation, s.attempt + 1, call.nonce}
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

// abandonSteps returns the possible states after an abandonment, whose reply is
// never seen.
func abandonSteps(s operationState, call ledgerCall) []any {
	next := []any{s}
	if s.nonce == call.nonce && (s.state == ledger.Claimed || s.state == ledger.Unknown) {
		s.state = ledger.Free
		next = append(next, s)
	}
	return next
}

// settleSteps returns the possible states after a settlement.
func settleSteps(s operationState, call ledgerCall, reply *mustardramp.ClaimReply) []any {
	open := s.state == ledger.Claimed || s.state == ledger.Unknown
	if !open || s.host != call.host || s.incarnation != call.incarnation || s.attempt != call.attempt {
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

// runLedgerHistory runs a history of the ledger. It returns an error if the history
// violates the model or an invariant.
func runLedgerHistory(t *testing.T, seed uint64, broken brokenLedgerRule) (h *ledgerHistory, err error) {
	t.Helper()
	sim := newSimulation(t, seed, 3+2*int(seed%2))
	if broken != noBrokenLedgerRule {
		defer recoverViolation(voteForAnyone, &err)
	} else {
		defer recoverViolation(noBrokenRule, &err)
	}
	sim.compactEvery = 15
	h = newLedgerHistory(sim, broken)
	sim.runUntil(maxSettleSteps, "leader", func() bool { return sim.leader() != nil })
	faults := &faultInjector{sim: sim, diskLosses: 2}
	for range ledgerSteps {
		faults.step()
		h.step(true)
		sim.step()
	}
	faults.repairAll()
	for range 4 * maxSettleSteps {
		if h.isIdle() {
			break
		}
		h.step(false)
		sim.step()
	}
	if !h.isIdle() {
		return h, fmt.Errorf("operations did not finish after all faults had ended")
	}
	return h, checkHistory(ledgerModel.ToModel(), h.operations)
}

func TestLedgerHistories(t *testing.T) {
	first, count := seedCount(t, 12)
	operations, runs := 0, 0
	for seed := first; seed < first+count; seed++ {
		h, err := runLedgerHistory(t, seed, noBrokenLedgerRule)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		operations += len(h.operations)
		runs += len(h.runs)
	}
	t.Logf("%d seeds from %d, %d operations, %d keys that ran", count, first, operations, runs)
}

func TestBrokenLedgerRulesAreDetected(t *testing.T) {
	const maxHistories = 100
	for name, broken := range map[string]brokenLedgerRule{
		"dispatch before the commit":   dispatchBeforeCommit,
		"grant after a holder's death": grantAfterDeath,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxHistories; seed++ {
				if _, err := runLedgerHistory(t, seed, broken); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no error in %d histories, want one", maxHistories)
		})
	}
}
