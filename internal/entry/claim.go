package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Limits on the wait for another sending of the same operation.
const (
	minClaimPoll = 5 * time.Millisecond
	maxClaimPoll = 250 * time.Millisecond
	// claimTimeout limits one call to the ledger.
	claimTimeout = 3 * time.Second
)

// findKey reads the operation key. From then on the outcome of earlier sendings
// is unknown until the ledger has replied.
func (x *exchange) findKey() *mustardramp.Denial {
	if x.route.Key == "" {
		return nil
	}
	values := x.r.Header.Values(x.route.Key)
	if len(values) != 1 || values[0] == "" || len(values[0]) > MaxKeyBytes {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindKeyMissing,
			Reason: "the route needs one operation key in the header " + x.route.Key,
		}
	}
	x.key = mustardramp.OperationKey(values[0])
	x.verdict = mustardramp.VerdictUnsent()
	if x.hasExpiredKey() {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindKeyExpired,
			Reason: "the key is older than the time for which outcomes are kept",
			Facts:  []mustardramp.Fact{{Name: "keep", Value: x.contract.Keep.String()}},
		}
	}
	return nil
}

// MaxKeyBytes limits the length of an operation key.
const MaxKeyBytes = 255

// runKeyed dispatches a keyed operation under a claim, or responds with the
// recorded result of an earlier sending.
func (x *exchange) runKeyed() *mustardramp.Denial {
	if x.h.config.Ledger == nil {
		return ledgerDenial("this host has no ledger", nil)
	}
	claim := x.newClaim()
	reply, denial := x.claimOperation(claim)
	if denial != nil {
		return denial
	}
	if reply.State != mustardramp.ClaimGranted {
		return x.respondFromClaim(reply)
	}
	x.claim = claim
	x.claimAttempt = reply.Attempt
	x.verdict = mustardramp.VerdictNotRun()
	denial = x.runAttempts()
	x.settleRemaining()
	return denial
}

// newClaim returns a claim on the operation. Keys of a caller without a stable
// name are scoped to the service alone, because a resend may come from another
// address.
func (x *exchange) newClaim() *mustardramp.Claim {
	claim := &mustardramp.Claim{
		ID:          mustardramp.ClaimID{Service: x.contract.Service, Key: x.key},
		Digest:      x.requestDigest(),
		Host:        x.h.config.Host,
		Incarnation: x.h.config.Incarnation,
		Home:        x.contract.Home,
		Keep:        x.contract.Keep,
	}
	if x.callerStable {
		claim.ID.Caller = x.caller
	}
	return claim
}

// claimOperation claims the operation. It waits until the deadline for another
// sending of the operation to end. The call to the ledger continues when the
// caller disconnects, because the claim may be granted all the same.
func (x *exchange) claimOperation(claim *mustardramp.Claim) (mustardramp.ClaimReply, *mustardramp.Denial) {
	ctx, cancel := context.WithTimeout(x.h.nextDetachedContext(), x.deadline.Sub(x.h.config.Clock.Now()))
	defer cancel()
	for interval := minClaimPoll; ; interval = min(2*interval, maxClaimPoll) {
		reply, err := x.tryClaim(ctx, claim)
		if err != nil {
			return reply, x.claimFailedDenial(err)
		}
		if reply.State != mustardramp.ClaimRunning {
			return reply, nil
		}
		if !x.sleep(ctx, interval) {
			return reply, x.inFlightDenial()
		}
	}
}

func (x *exchange) tryClaim(ctx context.Context, claim *mustardramp.Claim) (mustardramp.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return x.h.config.Ledger.Claim(ctx, *claim)
}

// sleep waits for d. It returns false if the context ends or the caller
// disconnects first.
func (x *exchange) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-x.ctx.Done():
		return false
	}
}

func (x *exchange) claimFailedDenial(err error) *mustardramp.Denial {
	if x.ctx.Err() != nil {
		return x.interruptedDenial(x.ctx)
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

func (x *exchange) inFlightDenial() *mustardramp.Denial {
	if x.ctx.Err() != nil {
		return x.interruptedDenial(x.ctx)
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindInFlight,
		Reason:     "an earlier sending of the operation is still under way",
		RetryAfter: time.Second,
	}
}

// respondFromClaim responds for an operation that this sending must not
// dispatch.
func (x *exchange) respondFromClaim(reply mustardramp.ClaimReply) *mustardramp.Denial {
	switch reply.State {
	case mustardramp.ClaimRan:
		x.verdict.Operation = mustardramp.Ran
		if reply.Answer == nil || !reply.Answer.Kept {
			return &mustardramp.Denial{
				Kind:   mustardramp.KindAnswerNotStored,
				Reason: "the operation ran, but its answer was not kept",
			}
		}
		if promisesNotRun(reply.Answer.Status) {
			// Hosts of earlier versions recorded such answers.
			return &mustardramp.Denial{
				Kind:   mustardramp.KindAnswerNotStored,
				Reason: "the operation ran, but the status of its answer says that it did not",
			}
		}
		x.replayRecorded(reply.Answer)
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

// replayRecorded sends the recorded response.
func (x *exchange) replayRecorded(recorded *mustardramp.RecordedResponse) {
	x.w.Header().Set(HeaderAnswer, "recorded")
	x.writeHeader(recorded.Status, http.Header(recorded.Header), nil)
	if x.r.Method != http.MethodHead {
		_, _ = x.write(recorded.Body)
	}
}

// settleRan records that the operation ran. A nil response means that the
// complete response is not known or too long to record.
func (x *exchange) settleRan(response *bufferedResponse) {
	if x.claim == nil {
		return
	}
	record := &mustardramp.RecordedResponse{}
	if response != nil {
		record.Status = response.status
	}
	if response != nil && len(response.body) <= MaxRecordedBytes && len(response.trailer) == 0 {
		record.Kept = true
		record.Header = maps.Clone(forwardableHeader(response.header))
		record.Body = append([]byte(nil), response.body...)
	}
	x.settle(mustardramp.Ran, record)
}

// settleRemaining records the outcome of an operation that was not settled by a
// response.
func (x *exchange) settleRemaining() {
	x.settle(x.verdict.Operation, nil)
}

// settle starts to record the outcome of a granted claim. Later calls have no
// effect.
func (x *exchange) settle(outcome mustardramp.Outcome, record *mustardramp.RecordedResponse) {
	if x.claim == nil {
		return
	}
	x.h.settler.settle(mustardramp.Settlement{
		ID:          x.claim.ID,
		Home:        x.claim.Home,
		Host:        x.claim.Host,
		Incarnation: x.claim.Incarnation,
		Attempt:     x.claimAttempt,
		Outcome:     outcome,
		Answer:      record,
	})
	x.claim = nil
}
