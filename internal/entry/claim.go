package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Bounds of the wait for another sending of the same operation.
const (
	firstPoll = 5 * time.Millisecond
	lastPoll  = 250 * time.Millisecond
	// claimTimeout bounds one question to the ledger.
	claimTimeout = 3 * time.Second
)

// findKey reads the operation's key. From here on nothing is known of earlier
// sendings until the ledger has been read.
func (x *exchange) findKey() *mustardramp.Denial {
	if x.route.Key == "" {
		return nil
	}
	values := x.r.Header.Values(x.route.Key)
	if len(values) != 1 || values[0] == "" || len(values[0]) > MaxKey {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindKeyMissing,
			Reason: "the route needs one operation key in the header " + x.route.Key,
		}
	}
	x.key = mustardramp.OperationKey(values[0])
	x.verdict = mustardramp.Unsent()
	if x.keyExpired() {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindKeyExpired,
			Reason: "the key is older than the time for which outcomes are kept",
			Facts:  []mustardramp.Fact{{Name: "keep", Value: x.contract.Keep.String()}},
		}
	}
	return nil
}

// MaxKey bounds an operation key in bytes.
const MaxKey = 255

// once dispatches a keyed operation under a claim, or answers it from the
// record of an earlier sending.
func (x *exchange) once() *mustardramp.Denial {
	if x.h.config.Ledger == nil {
		return ledgerDenial("this host has no ledger", nil)
	}
	claim := x.newClaim()
	reply, denial := x.ask(claim)
	if denial != nil {
		return denial
	}
	if reply.State != mustardramp.ClaimGranted {
		return x.answerClaim(reply)
	}
	x.claim = claim
	x.grant = reply.Attempt
	x.verdict = mustardramp.Not()
	denial = x.attempts()
	x.settleRest()
	return denial
}

// newClaim asks for the operation. Keys of a caller without a steady name are
// scoped by the service alone: a resend may come from another address.
func (x *exchange) newClaim() *mustardramp.Claim {
	claim := &mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: x.contract.Service, Key: x.key},
		Digest:      x.digest(),
		Host:        x.h.config.Host,
		Incarnation: x.h.config.Incarnation,
		Home:        x.contract.Home,
		Keep:        x.contract.Keep,
	}
	if x.steady {
		claim.ID.Caller = x.caller
	}
	return claim
}

// ask claims the operation. It waits for another sending of it to end, but
// not beyond the deadline. A claim is not given up when the caller leaves: it
// could be granted unheard.
func (x *exchange) ask(claim *mustardramp.Claim) (mustardramp.ClaimReply, *mustardramp.Denial) {
	ctx, cancel := context.WithTimeout(x.h.lasting(), x.deadline.Sub(x.h.config.Clock.Now()))
	defer cancel()
	for pause := firstPoll; ; pause = min(2*pause, lastPoll) {
		reply, err := x.askOnce(ctx, claim)
		if err != nil {
			return reply, x.ledgerFailed(err)
		}
		if reply.State != mustardramp.ClaimRunning {
			return reply, nil
		}
		if !x.sleep(ctx, pause) {
			return reply, x.stillRunning()
		}
	}
}

func (x *exchange) askOnce(ctx context.Context, claim *mustardramp.Claim) (mustardramp.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return x.h.config.Ledger.Claim(ctx, *claim)
}

// sleep reports false when the context ended or the caller left first.
func (x *exchange) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-x.r.Context().Done():
		return false
	}
}

func (x *exchange) ledgerFailed(err error) *mustardramp.Denial {
	if x.r.Context().Err() != nil {
		return x.interrupted(x.r.Context())
	}
	return ledgerDenial("the ledger did not confirm the claim, so nothing was sent", err)
}

func ledgerDenial(reason string, err error) *mustardramp.Denial {
	denial := &mustardramp.Denial{Kind: mustardramp.KindLedger, Reason: reason, RetryAfter: time.Second}
	if err != nil {
		denial.Facts = []mustardramp.Fact{{Name: "error", Value: err.Error()}}
	}
	return denial
}

func (x *exchange) stillRunning() *mustardramp.Denial {
	if x.r.Context().Err() != nil {
		return x.interrupted(x.r.Context())
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindInFlight,
		Reason:     "an earlier sending of the operation is still under way",
		RetryAfter: time.Second,
	}
}

// answerClaim answers for an operation that this sending may not dispatch.
func (x *exchange) answerClaim(reply mustardramp.ClaimReply) *mustardramp.Denial {
	switch reply.State {
	case mustardramp.ClaimRan:
		x.verdict.Operation = mustardramp.Ran
		if reply.Answer == nil || !reply.Answer.Kept {
			return &mustardramp.Denial{
				Kind:   mustardramp.KindAnswerGone,
				Reason: "the operation ran, but its answer was not kept",
			}
		}
		x.replay(reply.Answer)
		return nil
	case mustardramp.ClaimMismatch:
		return &mustardramp.Denial{
			Kind:   mustardramp.KindKeyMismatch,
			Reason: "the key was used before with another request",
		}
	default:
		return &mustardramp.Denial{
			Kind:   mustardramp.KindUnsettled,
			Reason: "an earlier sending may have run; an operator can settle it",
		}
	}
}

// replay answers from the record.
func (x *exchange) replay(recorded *mustardramp.Answer) {
	x.w.Header().Set(HeaderAnswer, "recorded")
	x.writeHeader(recorded.Status, http.Header(recorded.Header), nil)
	if x.r.Method != http.MethodHead {
		_, _ = x.write(recorded.Body)
	}
}

// settleRan records that the operation ran. A nil answer means that the whole
// answer is not known or too long to keep.
func (x *exchange) settleRan(ans *answer) {
	if x.claim == nil {
		return
	}
	record := &mustardramp.Answer{}
	if ans != nil {
		record.Status = ans.status
	}
	if ans != nil && len(ans.body) <= KeepLimit && len(ans.trailer) == 0 {
		record.Kept = true
		record.Header = maps.Clone(forwardable(ans.header))
		record.Body = append([]byte(nil), ans.body...)
	}
	x.settle(mustardramp.Ran, record)
}

// settleRest records the outcome of an operation that no answer settled.
func (x *exchange) settleRest() {
	x.settle(x.verdict.Operation, nil)
}

// settle has the outcome of a granted claim recorded, once.
func (x *exchange) settle(outcome mustardramp.Outcome, record *mustardramp.Answer) {
	if x.claim == nil {
		return
	}
	x.h.settler.settle(mustardramp.Settlement{
		ID:          x.claim.ID,
		Home:        x.claim.Home,
		Host:        x.claim.Host,
		Incarnation: x.claim.Incarnation,
		Attempt:     x.grant,
		Outcome:     outcome,
		Answer:      record,
	})
	x.claim = nil
}
