package ledger

import (
	"reflect"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// book drives a state with commands of one control host.
type book struct {
	t     *testing.T
	state *State
	now   Millis
}

func newBook(t *testing.T) *book {
	return &book{t: t, state: &State{}, now: 1_000_000}
}

func (b *book) do(c Command) Result {
	b.t.Helper()
	c.Member = "control-1"
	c.At = b.now
	encoded, err := c.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	var r Result
	if err := decode(b.state.Apply(0, encoded), &r); err != nil {
		b.t.Fatal(err)
	}
	return r
}

func claimOf(host mustardramp.HostName, incarnation mustardramp.Incarnation) mustardramp.Claim {
	return mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: "mohor", Caller: "bench-1", Key: "key"},
		Digest:      mustardramp.Digest{1},
		Host:        host,
		Incarnation: incarnation,
		Keep:        time.Hour,
	}
}

func (b *book) claim(host mustardramp.HostName, incarnation mustardramp.Incarnation, nonce Nonce) Result {
	b.t.Helper()
	return b.do(Command{Claim: &Question{Claim: claimOf(host, incarnation), Nonce: nonce}})
}

func (b *book) settle(host mustardramp.HostName, attempt uint64, outcome mustardramp.Outcome) Result {
	b.t.Helper()
	return b.do(Command{Settle: &mustardramp.Settlement{
		ID:          claimOf("", 0).ID,
		Host:        host,
		Incarnation: 1,
		Attempt:     attempt,
		Outcome:     outcome,
		Answer:      &mustardramp.Answer{Status: 201, Kept: true},
	}})
}

func (b *book) abandon(host mustardramp.HostName, nonce Nonce) Result {
	b.t.Helper()
	return b.do(Command{Abandon: &Question{Claim: claimOf(host, 1), Nonce: nonce}})
}

func (b *book) decide(outcome mustardramp.Outcome, name string) Result {
	b.t.Helper()
	return b.do(Command{Decide: &Decision{claimOf("", 0).ID, outcome, Who{Name: name, Reason: "asked the bench"}}})
}

func TestClaims(t *testing.T) {
	const (
		unsettled = mustardramp.ClaimUnsettled
		granted   = mustardramp.ClaimGranted
		running   = mustardramp.ClaimRunning
		ran       = mustardramp.ClaimRan
	)
	for name, tc := range map[string]struct {
		before func(b *book)
		// The question comes from host "asker".
		nonce   Nonce
		want    mustardramp.ClaimState
		attempt uint64
		fault   Fault
	}{
		"new key": {
			before: func(*book) {}, nonce: 1, want: granted, attempt: 1,
		},
		"resent question": {
			before: func(b *book) { b.claim("asker", 1, 1) }, nonce: 1, want: granted, attempt: 1,
		},
		"second question of the same host": {
			before: func(b *book) { b.claim("asker", 1, 1) }, nonce: 2, want: running, attempt: 1,
		},
		"running elsewhere": {
			before: func(b *book) { b.claim("other", 1, 9) }, nonce: 1, want: running, attempt: 1,
		},
		"ran": {
			before: func(b *book) { b.claim("other", 1, 9); b.settle("other", 1, mustardramp.Ran) }, nonce: 1, want: ran, attempt: 1,
		},
		"not run": {
			before: func(b *book) { b.claim("other", 1, 9); b.settle("other", 1, mustardramp.NotRun) }, nonce: 1, want: granted, attempt: 2,
		},
		"may have run": {
			before: func(b *book) { b.claim("other", 1, 9); b.settle("other", 1, mustardramp.MayHaveRun) }, nonce: 1, want: unsettled, attempt: 1,
		},
		"holder started again": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.do(Command{Alive: &Sign{"other", 2}})
			},
			nonce: 1, want: unsettled, attempt: 1,
		},
		"holder fell silent": {
			before: func(b *book) { b.claim("other", 1, 9); b.now += Millis(HostLease.Milliseconds()) + 1 },
			nonce:  1, want: unsettled, attempt: 1,
		},
		"holder renewed its lease": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.now += Millis(HostLease.Milliseconds()) - 1
				b.do(Command{Alive: &Sign{"other", 1}})
				b.now += 1000
			},
			nonce: 1, want: running, attempt: 1,
		},
		"silent holder's late word": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.now += Millis(HostLease.Milliseconds()) + 1
				b.claim("asker", 1, 8)
				b.settle("other", 1, mustardramp.Ran)
			},
			nonce: 1, want: ran, attempt: 1,
		},
		"given up while it asked": {
			before: func(b *book) {
				b.claim("asker", 1, 1)
				b.now += Millis(HostLease.Milliseconds()) + 1
				b.claim("other", 1, 9)
			},
			nonce: 1, want: granted, attempt: 1,
		},
		"copy of a question that may have run": {
			before: func(b *book) { b.claim("asker", 1, 1); b.settle("asker", 1, mustardramp.MayHaveRun) }, nonce: 1, want: unsettled, attempt: 1,
		},
		"copy of a question that was told to wait": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.claim("asker", 1, 1)
				b.settle("other", 1, mustardramp.NotRun)
			},
			nonce: 1, fault: FaultBurned,
		},
		"now catches up": {
			before: func(b *book) {
				early, _ := (&Command{Member: "control-2", At: b.now - 20_000}).Encode()
				b.state.Apply(0, early)
				b.claim("other", 1, 9)
				b.now += 15_000
				late, _ := (&Command{Member: "control-2", At: b.now}).Encode()
				b.state.Apply(0, late)
			},
			nonce: 1, want: running, attempt: 1,
		},
		"abandoned": {
			before: func(b *book) { b.claim("other", 1, 9); b.abandon("other", 9) }, nonce: 1, want: granted, attempt: 2,
		},
		"abandoned before it came": {
			before: func(b *book) { b.abandon("asker", 1) }, nonce: 1, fault: FaultBurned,
		},
		"copy of a question that did not run": {
			before: func(b *book) { b.claim("asker", 1, 1); b.settle("asker", 1, mustardramp.NotRun) }, nonce: 1, fault: FaultBurned,
		},
		"from an earlier incarnation": {
			before: func(b *book) { b.do(Command{Alive: &Sign{"asker", 2}}) }, nonce: 1, fault: FaultStale,
		},
		"settlement of an earlier attempt": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.NotRun)
				b.claim("other", 1, 10)
				b.settle("other", 1, mustardramp.NotRun)
			},
			nonce: 1, want: running, attempt: 2,
		},
		"operator found that it ran": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.Ran, "op")
			},
			nonce: 1, want: ran, attempt: 1,
		},
		"operator found that it did not run": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.NotRun, "op")
			},
			nonce: 1, want: granted, attempt: 2,
		},
		"holder's word after the operator's": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.Ran, "op")
				b.settle("other", 1, mustardramp.NotRun)
			},
			nonce: 1, want: ran, attempt: 1,
		},
		"kept span is over": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.Ran)
				b.now += Millis(time.Hour.Milliseconds()) + 1
			},
			nonce: 1, want: granted, attempt: 1,
		},
		"unknown is kept for good": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.now += Millis((1000 * time.Hour).Milliseconds())
			},
			nonce: 1, want: unsettled, attempt: 1,
		},
		"one clock runs ahead": {
			before: func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.Ran)
				ahead, _ := (&Command{Member: "control-2", At: b.now * 1000}).Encode()
				b.state.Apply(0, ahead)
			},
			nonce: 1, want: ran, attempt: 1,
		},
	} {
		for how, restore := range map[string]bool{"live": false, "restored": true} {
			t.Run(name+" "+how, func(t *testing.T) {
				b := newBook(t)
				tc.before(b)
				if restore {
					b.state = reloaded(t, b.state)
				}
				got := b.claim("asker", 1, tc.nonce)
				if got.Fault != tc.fault || got.Reply.State != tc.want || got.Reply.Attempt != tc.attempt {
					t.Errorf("got %+v, want state %d, attempt %d, fault %d", got, tc.want, tc.attempt, tc.fault)
				}
			})
		}
	}
}

func reloaded(t *testing.T, s *State) *State {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := &State{}
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	return next
}

func TestKeyWithAnotherRequestIsRefused(t *testing.T) {
	for name, before := range map[string]func(b *book){
		"running": func(*book) {},
		"ran":     func(b *book) { b.settle("other", 1, mustardramp.Ran) },
		"not run": func(b *book) { b.settle("other", 1, mustardramp.NotRun) },
		"unknown": func(b *book) { b.settle("other", 1, mustardramp.MayHaveRun) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(t)
			b.claim("other", 1, 9)
			before(b)
			c := claimOf("asker", 1)
			c.Digest = mustardramp.Digest{2}
			question := &Question{Claim: c, Nonce: 1}
			got := b.do(Command{Claim: question})
			if got.Reply.State != mustardramp.ClaimMismatch {
				t.Errorf("got %+v, want a mismatch", got)
			}
			if _, ok := b.state.peek(question); ok {
				t.Error("peek: got an answer for another request, want none")
			}
		})
	}
}

func TestSettlementsMayBeRepeated(t *testing.T) {
	for name, tc := range map[string]struct{ first, second mustardramp.Outcome }{
		"ran":                 {mustardramp.Ran, mustardramp.Ran},
		"not run":             {mustardramp.NotRun, mustardramp.NotRun},
		"unknown":             {mustardramp.MayHaveRun, mustardramp.MayHaveRun},
		"unknown, later ran":  {mustardramp.MayHaveRun, mustardramp.Ran},
		"unknown, later free": {mustardramp.MayHaveRun, mustardramp.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(t)
			b.claim("other", 1, 9)
			for i, outcome := range []mustardramp.Outcome{tc.first, tc.second} {
				if got := b.settle("other", 1, outcome); got.Fault != FaultNone {
					t.Errorf("settlement %d: got fault %d, want none", i, got.Fault)
				}
			}
		})
	}
}

func TestLateCopyOfASettlementIsRecorded(t *testing.T) {
	b := newBook(t)
	b.claim("other", 1, 9)
	b.settle("other", 1, mustardramp.NotRun)
	b.claim("asker", 1, 1)
	for name, tc := range map[string]struct {
		outcome mustardramp.Outcome
		want    Fault
	}{
		"not run":      {mustardramp.NotRun, FaultNone},
		"may have run": {mustardramp.MayHaveRun, FaultStale},
		"ran":          {mustardramp.Ran, FaultStale},
	} {
		if got := b.settle("other", 1, tc.outcome); got.Fault != tc.want {
			t.Errorf("%s: got fault %d, want %d", name, got.Fault, tc.want)
		}
	}
	if view, _ := b.state.Show(claimOf("", 0).ID); view.State != Claimed || view.Attempt != 2 {
		t.Errorf("got %+v, want the second attempt claimed", view)
	}
}

func TestDecisionsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(b *book)
		want   Fault
	}{
		"no such key": {func(*book) {}, FaultMissing},
		"running":     {func(b *book) { b.claim("other", 1, 9) }, FaultRunning},
		"ran":         {func(b *book) { b.claim("other", 1, 9); b.settle("other", 1, mustardramp.Ran) }, FaultSettled},
		"holder dead": {func(b *book) { b.claim("other", 1, 9); b.now += Millis(time.Hour.Milliseconds()) }, FaultNone},
		"decided by another": {
			func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.Ran, "first")
			},
			FaultSettled,
		},
		"resent": {
			func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.NotRun, "op")
			},
			FaultNone,
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(t)
			tc.before(b)
			if got := b.decide(mustardramp.NotRun, "op"); got.Fault != tc.want {
				t.Errorf("got fault %d, want %d", got.Fault, tc.want)
			}
		})
	}
}

func TestFullLedgerRefusesNewKeysOnly(t *testing.T) {
	b := newBook(t)
	b.state.limit = 1
	b.claim("other", 1, 9)
	c := claimOf("asker", 1)
	c.ID.Key = "second"
	if got := b.do(Command{Claim: &Question{Claim: c, Nonce: 1}}); got.Fault != FaultFull {
		t.Errorf("got %+v, want a full ledger", got)
	}
	if got := b.claim("asker", 1, 1); got.Reply.State != mustardramp.ClaimRunning {
		t.Errorf("got %+v, want a running claim", got)
	}
}

func TestSnapshotHoldsEverything(t *testing.T) {
	b := newBook(t)
	b.claim("other", 1, 9)
	b.settle("other", 1, mustardramp.Ran)
	next := reloaded(t, b.state)
	if !reflect.DeepEqual(next.entries, b.state.entries) || !reflect.DeepEqual(next.holders, b.state.holders) || next.now != b.state.now {
		t.Errorf("got %+v, want %+v", next, b.state)
	}
}
