package ledger

import (
	"reflect"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// harness applies commands of one control host to a state.
type harness struct {
	t     *testing.T
	state *State
	now   Millis
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, state: &State{}, now: 1_000_000}
}

func (h *harness) do(c Command) Result {
	h.t.Helper()
	c.Member = "control-1"
	c.At = h.now
	encoded, err := c.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	var r Result
	if err := decode(h.state.Apply(0, encoded), &r); err != nil {
		h.t.Fatal(err)
	}
	return r
}

func testClaim(host mustardramp.HostName, incarnation mustardramp.Incarnation) mustardramp.Claim {
	return mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: "mohor", Caller: "bench-1", Key: "key"},
		Digest:      mustardramp.Digest{1},
		Host:        host,
		Incarnation: incarnation,
		Keep:        time.Hour,
	}
}

func (h *harness) claim(host mustardramp.HostName, incarnation mustardramp.Incarnation, nonce Nonce) Result {
	h.t.Helper()
	return h.do(Command{Claim: &ClaimRequest{Claim: testClaim(host, incarnation), Nonce: nonce}})
}

func (h *harness) settle(host mustardramp.HostName, attempt uint64, outcome mustardramp.Outcome) Result {
	h.t.Helper()
	return h.do(Command{Settle: &mustardramp.Settlement{
		ID:          testClaim("", 0).ID,
		Host:        host,
		Incarnation: 1,
		Attempt:     attempt,
		Outcome:     outcome,
		Answer:      &mustardramp.RecordedResponse{Status: 201, Kept: true},
	}})
}

func (h *harness) abandon(host mustardramp.HostName, nonce Nonce) Result {
	h.t.Helper()
	return h.do(Command{Abandon: &ClaimRequest{Claim: testClaim(host, 1), Nonce: nonce}})
}

func (h *harness) decide(outcome mustardramp.Outcome, name string) Result {
	h.t.Helper()
	return h.do(Command{Decide: &Decision{testClaim("", 0).ID, outcome, Operator{Name: name, Reason: "asked the bench"}}})
}

func TestClaims(t *testing.T) {
	const (
		unsettled = mustardramp.ClaimUnsettled
		granted   = mustardramp.ClaimGranted
		running   = mustardramp.ClaimRunning
		ran       = mustardramp.ClaimRan
	)
	for name, tc := range map[string]struct {
		before func(h *harness)
		// The tested claim comes from host "host-1".
		nonce   Nonce
		want    mustardramp.ClaimState
		attempt uint64
		fault   Fault
	}{
		"new key": {
			before: func(*harness) {}, nonce: 1, want: granted, attempt: 1,
		},
		"resent claim": {
			before: func(h *harness) { h.claim("host-1", 1, 1) }, nonce: 1, want: granted, attempt: 1,
		},
		"second claim of the same host": {
			before: func(h *harness) { h.claim("host-1", 1, 1) }, nonce: 2, want: running, attempt: 1,
		},
		"running on another host": {
			before: func(h *harness) { h.claim("other", 1, 9) }, nonce: 1, want: running, attempt: 1,
		},
		"ran": {
			before: func(h *harness) { h.claim("other", 1, 9); h.settle("other", 1, mustardramp.Ran) }, nonce: 1, want: ran, attempt: 1,
		},
		"not run": {
			before: func(h *harness) { h.claim("other", 1, 9); h.settle("other", 1, mustardramp.NotRun) }, nonce: 1, want: granted, attempt: 2,
		},
		"may have run": {
			before: func(h *harness) { h.claim("other", 1, 9); h.settle("other", 1, mustardramp.MayHaveRun) }, nonce: 1, want: unsettled, attempt: 1,
		},
		"holder restarted": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.do(Command{Heartbeat: &Heartbeat{"other", 2}})
			},
			nonce: 1, want: unsettled, attempt: 1,
		},
		"holder's lease expired": {
			before: func(h *harness) { h.claim("other", 1, 9); h.now += Millis(HostLease.Milliseconds()) + 1 },
			nonce:  1, want: unsettled, attempt: 1,
		},
		"holder renewed its lease": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.now += Millis(HostLease.Milliseconds()) - 1
				h.do(Command{Heartbeat: &Heartbeat{"other", 1}})
				h.now += 1000
			},
			nonce: 1, want: running, attempt: 1,
		},
		"settlement after the holder's lease expired": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.now += Millis(HostLease.Milliseconds()) + 1
				h.claim("host-1", 1, 8)
				h.settle("other", 1, mustardramp.Ran)
			},
			nonce: 1, want: ran, attempt: 1,
		},
		"resent claim after the host's lease expired": {
			before: func(h *harness) {
				h.claim("host-1", 1, 1)
				h.now += Millis(HostLease.Milliseconds()) + 1
				h.claim("other", 1, 9)
			},
			nonce: 1, want: granted, attempt: 1,
		},
		"copy of a claim that may have run": {
			before: func(h *harness) { h.claim("host-1", 1, 1); h.settle("host-1", 1, mustardramp.MayHaveRun) }, nonce: 1, want: unsettled, attempt: 1,
		},
		"copy of a claim that was answered as running": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.claim("host-1", 1, 1)
				h.settle("other", 1, mustardramp.NotRun)
			},
			nonce: 1, fault: FaultInvalidNonce,
		},
		"ledger clock catches up with the proposer": {
			before: func(h *harness) {
				early, _ := (&Command{Member: "control-2", At: h.now - 20_000}).Encode()
				h.state.Apply(0, early)
				h.claim("other", 1, 9)
				h.now += 15_000
				late, _ := (&Command{Member: "control-2", At: h.now}).Encode()
				h.state.Apply(0, late)
			},
			nonce: 1, want: running, attempt: 1,
		},
		"abandoned claim": {
			before: func(h *harness) { h.claim("other", 1, 9); h.abandon("other", 9) }, nonce: 1, want: granted, attempt: 2,
		},
		"abandoned before it arrived": {
			before: func(h *harness) { h.abandon("host-1", 1) }, nonce: 1, fault: FaultInvalidNonce,
		},
		"copy of a claim that did not run": {
			before: func(h *harness) { h.claim("host-1", 1, 1); h.settle("host-1", 1, mustardramp.NotRun) }, nonce: 1, fault: FaultInvalidNonce,
		},
		"claim of an earlier incarnation": {
			before: func(h *harness) { h.do(Command{Heartbeat: &Heartbeat{"host-1", 2}}) }, nonce: 1, fault: FaultStale,
		},
		"settlement of an earlier attempt": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.NotRun)
				h.claim("other", 1, 10)
				h.settle("other", 1, mustardramp.NotRun)
			},
			nonce: 1, want: running, attempt: 2,
		},
		"operator decided that it ran": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.MayHaveRun)
				h.decide(mustardramp.Ran, "op")
			},
			nonce: 1, want: ran, attempt: 1,
		},
		"operator decided that it did not run": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.MayHaveRun)
				h.decide(mustardramp.NotRun, "op")
			},
			nonce: 1, want: granted, attempt: 2,
		},
		"settlement after an operator's decision": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.MayHaveRun)
				h.decide(mustardramp.Ran, "op")
				h.settle("other", 1, mustardramp.NotRun)
			},
			nonce: 1, want: ran, attempt: 1,
		},
		"retention time is over": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.Ran)
				h.now += Millis(time.Hour.Milliseconds()) + 1
			},
			nonce: 1, want: granted, attempt: 1,
		},
		"unknown outcome does not expire": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.MayHaveRun)
				h.now += Millis((1000 * time.Hour).Milliseconds())
			},
			nonce: 1, want: unsettled, attempt: 1,
		},
		"one clock runs ahead": {
			before: func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.Ran)
				ahead, _ := (&Command{Member: "control-2", At: h.now * 1000}).Encode()
				h.state.Apply(0, ahead)
			},
			nonce: 1, want: ran, attempt: 1,
		},
	} {
		for mode, restore := range map[string]bool{"live": false, "restored": true} {
			t.Run(name+" "+mode, func(t *testing.T) {
				h := newHarness(t)
				tc.before(h)
				if restore {
					h.state = restoreCopy(t, h.state)
				}
				got := h.claim("host-1", 1, tc.nonce)
				if got.Fault != tc.fault || got.Reply.State != tc.want || got.Reply.Attempt != tc.attempt {
					t.Errorf("got %+v, want state %d, attempt %d, fault %d", got, tc.want, tc.attempt, tc.fault)
				}
			})
		}
	}
}

func restoreCopy(t *testing.T, s *State) *State {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &State{}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestClaimWithAnotherDigestIsMismatch(t *testing.T) {
	for name, before := range map[string]func(h *harness){
		"running": func(*harness) {},
		"ran":     func(h *harness) { h.settle("other", 1, mustardramp.Ran) },
		"not run": func(h *harness) { h.settle("other", 1, mustardramp.NotRun) },
		"unknown": func(h *harness) { h.settle("other", 1, mustardramp.MayHaveRun) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.claim("other", 1, 9)
			before(h)
			c := testClaim("host-1", 1)
			c.Digest = mustardramp.Digest{2}
			request := &ClaimRequest{Claim: c, Nonce: 1}
			got := h.do(Command{Claim: request})
			if got.Reply.State != mustardramp.ClaimMismatch {
				t.Errorf("got %+v, want a mismatch", got)
			}
			if _, ok := h.state.peek(request); ok {
				t.Error("peek: got an answer for another request, want none")
			}
		})
	}
}

func TestRepeatedSettlement(t *testing.T) {
	for name, tc := range map[string]struct{ first, second mustardramp.Outcome }{
		"ran":                    {mustardramp.Ran, mustardramp.Ran},
		"not run":                {mustardramp.NotRun, mustardramp.NotRun},
		"unknown":                {mustardramp.MayHaveRun, mustardramp.MayHaveRun},
		"unknown, later ran":     {mustardramp.MayHaveRun, mustardramp.Ran},
		"unknown, later not run": {mustardramp.MayHaveRun, mustardramp.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.claim("other", 1, 9)
			for i, outcome := range []mustardramp.Outcome{tc.first, tc.second} {
				if got := h.settle("other", 1, outcome); got.Fault != FaultNone {
					t.Errorf("settlement %d: got fault %d, want none", i, got.Fault)
				}
			}
		})
	}
}

func TestSettlementOfEarlierAttempt(t *testing.T) {
	h := newHarness(t)
	h.claim("other", 1, 9)
	h.settle("other", 1, mustardramp.NotRun)
	h.claim("host-1", 1, 1)
	for name, tc := range map[string]struct {
		outcome mustardramp.Outcome
		want    Fault
	}{
		"not run":      {mustardramp.NotRun, FaultNone},
		"may have run": {mustardramp.MayHaveRun, FaultStale},
		"ran":          {mustardramp.Ran, FaultStale},
	} {
		if got := h.settle("other", 1, tc.outcome); got.Fault != tc.want {
			t.Errorf("%s: got fault %d, want %d", name, got.Fault, tc.want)
		}
	}
	if view, _ := h.state.Show(testClaim("", 0).ID); view.State != Claimed || view.Attempt != 2 {
		t.Errorf("got %+v, want the second attempt claimed", view)
	}
}

func TestDecisionFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(h *harness)
		want   Fault
	}{
		"no such key":            {func(*harness) {}, FaultMissing},
		"running":                {func(h *harness) { h.claim("other", 1, 9) }, FaultRunning},
		"ran":                    {func(h *harness) { h.claim("other", 1, 9); h.settle("other", 1, mustardramp.Ran) }, FaultSettled},
		"holder's lease expired": {func(h *harness) { h.claim("other", 1, 9); h.now += Millis(time.Hour.Milliseconds()) }, FaultNone},
		"decided by another operator": {
			func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.MayHaveRun)
				h.decide(mustardramp.Ran, "first")
			},
			FaultSettled,
		},
		"resent decision": {
			func(h *harness) {
				h.claim("other", 1, 9)
				h.settle("other", 1, mustardramp.MayHaveRun)
				h.decide(mustardramp.NotRun, "op")
			},
			FaultNone,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			tc.before(h)
			if got := h.decide(mustardramp.NotRun, "op"); got.Fault != tc.want {
				t.Errorf("got fault %d, want %d", got.Fault, tc.want)
			}
		})
	}
}

func TestFullLedgerRefusesOnlyNewKeys(t *testing.T) {
	h := newHarness(t)
	h.state.limit = 1
	h.claim("other", 1, 9)
	c := testClaim("host-1", 1)
	c.ID.Key = "second"
	if got := h.do(Command{Claim: &ClaimRequest{Claim: c, Nonce: 1}}); got.Fault != FaultFull {
		t.Errorf("got %+v, want a full ledger", got)
	}
	if got := h.claim("host-1", 1, 1); got.Reply.State != mustardramp.ClaimRunning {
		t.Errorf("got %+v, want a running claim", got)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	h := newHarness(t)
	h.claim("other", 1, 9)
	h.settle("other", 1, mustardramp.Ran)
	restored := restoreCopy(t, h.state)
	if !reflect.DeepEqual(restored.entries, h.state.entries) || !reflect.DeepEqual(restored.holders, h.state.holders) || restored.now != h.state.now {
		t.Errorf("got %+v, want %+v", restored, h.state)
	}
}
