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

func (b *book) do(c command) result {
	b.t.Helper()
	c.Member = "control-1"
	c.At = b.now
	encoded, err := encode(c)
	if err != nil {
		b.t.Fatal(err)
	}
	var r result
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

func (b *book) claim(host mustardramp.HostName, incarnation mustardramp.Incarnation, nonce Nonce) result {
	b.t.Helper()
	return b.do(command{Claim: &claimCommand{claimOf(host, incarnation), nonce}})
}

func (b *book) settle(host mustardramp.HostName, attempt uint64, outcome mustardramp.Outcome) result {
	b.t.Helper()
	return b.do(command{Settle: &settleCommand{mustardramp.Settlement{
		ID:          claimOf("", 0).ID,
		Host:        host,
		Incarnation: 1,
		Attempt:     attempt,
		Outcome:     outcome,
		Answer:      &mustardramp.Answer{Status: 201, Kept: true},
	}}})
}

func (b *book) abandon(host mustardramp.HostName, nonce Nonce) result {
	b.t.Helper()
	return b.do(command{Abandon: &abandonCommand{claimOf(host, 1), nonce}})
}

func (b *book) decide(outcome mustardramp.Outcome, name string) result {
	b.t.Helper()
	return b.do(command{Decide: &decideCommand{claimOf("", 0).ID, outcome, Who{Name: name, Reason: "asked the bench"}}})
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
		fault   fault
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
				b.do(command{Alive: &aliveCommand{"other", 2}})
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
				b.do(command{Alive: &aliveCommand{"other", 1}})
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
		"abandoned": {
			before: func(b *book) { b.claim("other", 1, 9); b.abandon("other", 9) }, nonce: 1, want: granted, attempt: 2,
		},
		"abandoned before it came": {
			before: func(b *book) { b.abandon("asker", 1) }, nonce: 1, fault: faultStale,
		},
		"copy of a question that did not run": {
			before: func(b *book) { b.claim("asker", 1, 1); b.settle("asker", 1, mustardramp.NotRun) }, nonce: 1, fault: faultStale,
		},
		"from an earlier incarnation": {
			before: func(b *book) { b.do(command{Alive: &aliveCommand{"asker", 2}}) }, nonce: 1, fault: faultStale,
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
				ahead, _ := encode(command{Member: "control-2", At: b.now * 1000})
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
			question := &claimCommand{c, 1}
			got := b.do(command{Claim: question})
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
				if got := b.settle("other", 1, outcome); got.Fault != faultNone {
					t.Errorf("settlement %d: got fault %d, want none", i, got.Fault)
				}
			}
		})
	}
}

func TestDecisionsAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(b *book)
		want   fault
	}{
		"no such key": {func(*book) {}, faultMissing},
		"running":     {func(b *book) { b.claim("other", 1, 9) }, faultRunning},
		"ran":         {func(b *book) { b.claim("other", 1, 9); b.settle("other", 1, mustardramp.Ran) }, faultSettled},
		"holder dead": {func(b *book) { b.claim("other", 1, 9); b.now += Millis(time.Hour.Milliseconds()) }, faultNone},
		"decided by another": {
			func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.Ran, "first")
			},
			faultSettled,
		},
		"resent": {
			func(b *book) {
				b.claim("other", 1, 9)
				b.settle("other", 1, mustardramp.MayHaveRun)
				b.decide(mustardramp.NotRun, "op")
			},
			faultNone,
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
	if got := b.do(command{Claim: &claimCommand{c, 1}}); got.Fault != faultFull {
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
