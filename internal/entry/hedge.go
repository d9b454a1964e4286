package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/retry"
)

// maxHedgeWait is the longest wait for a slot after which a request may still
// be hedged. A longer wait means that requests are queued.
const maxHedgeWait = 5 * time.Millisecond

var errSuperseded = errs.New("another backend answered first")

// hedgePolicy returns the hedging policy of the service.
func (s *Service) hedgePolicy() *retry.Hedge {
	s.hedgeOnce.Do(func() { s.hedge.Budget = s.Budget })
	return &s.hedge
}

// applicableHedgePolicy returns the hedging policy, or nil if the request must
// not be hedged: only idempotent reads without a body may be.
func (x *exchange) applicableHedgePolicy() *retry.Hedge {
	read := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if !x.contract.Hedge || !read || !x.route.Idempotent() {
		return nil
	}
	if x.claim != nil || x.body.upload != nil || len(x.body.buffered) > 0 {
		return nil
	}
	return x.service.hedgePolicy()
}

// attemptPair is the first attempt of a request and its hedge. Only the
// goroutine that calls dispatch modifies the exchange.
type attemptPair struct {
	x      *exchange
	policy *retry.Hedge
	group  errgroup.Group
	runs   [2]attemptRun
	// finished receives each launched run once.
	finished chan *attemptRun
	// runningCount is the number of runs that have not finished.
	runningCount int
	// unreadFailure is a run with an error response that has not been read.
	unreadFailure *attemptRun
	lastOutcome   *outcome
}

// attemptRun is one attempt of a pair.
type attemptRun struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// attempt is nil if there was no slot.
	attempt  *attempt
	response *http.Response
	err      error
}

func newAttemptPair(x *exchange, policy *retry.Hedge) *attemptPair {
	p := &attemptPair{x: x, policy: policy, finished: make(chan *attemptRun, 2)}
	for i := range p.runs {
		p.runs[i].ctx, p.runs[i].cancel = context.WithCancelCause(x.attemptContext())
	}
	return p
}

// dispatch sends the request to the slot's backend, and to another one if the
// response is late. The first good response is relayed and the other attempt
// canceled. A failure is returned once both have finished.
func (p *attemptPair) dispatch(slot mustardramp.Slot) *outcome {
	defer p.cleanUp()
	started := p.x.h.config.Clock.Now()
	p.x.tried = append(p.x.tried, slot.Backend().ID)
	p.launch(&p.runs[0], func(context.Context) (mustardramp.Slot, error) { return slot, nil })
	hedgeDue, stopTimer := p.hedgeTimer()
	defer stopTimer()
	for p.runningCount > 0 {
		select {
		case <-hedgeDue:
			p.launchHedge()
		case run := <-p.finished:
			p.markFinished(run)
			if run.isGood() {
				p.discardOther(run)
				p.policy.Learn(p.x.rank, p.x.h.config.Clock.Now().Sub(started))
				return run.finish()
			}
			p.keepFailure(run)
		}
	}
	if p.unreadFailure != nil {
		return p.unreadFailure.finish()
	}
	return p.lastOutcome
}

// keepFailure keeps the result of a run without a good response. An error
// response stays unread while the other run may still get a better one.
func (p *attemptPair) keepFailure(run *attemptRun) {
	switch {
	case run.attempt == nil:
	case run.response != nil && !run.isShed() && p.runningCount > 0:
		run.attempt.timer.Stop()
		p.unreadFailure = run
	default:
		p.lastOutcome = run.finish()
	}
}

// hedgeTimer returns a channel that receives when the hedge is due, and a
// function that stops the timer. The channel is nil if there is no hedge.
func (p *attemptPair) hedgeTimer() (<-chan time.Time, func()) {
	delay, ok := p.policy.Delay(p.x.rank, true)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// launchHedge starts the second run if the retry budget allows it.
func (p *attemptPair) launchHedge() {
	x := p.x
	if !p.policy.Start(x.rank, x.slotWait > maxHedgeWait, x.h.config.Clock.Now()) {
		return
	}
	demand := x.newDemand()
	p.launch(&p.runs[1], func(ctx context.Context) (mustardramp.Slot, error) {
		return x.service.Pool.Acquire(ctx, demand)
	})
}

func (p *attemptPair) launch(run *attemptRun, acquire func(context.Context) (mustardramp.Slot, error)) {
	p.runningCount++
	p.group.Go(func() error {
		defer func() { p.finished <- run }()
		slot, err := acquire(run.ctx)
		if err != nil {
			// The first run continues alone.
			return nil
		}
		a := p.x.newAttempt(run.ctx, slot)
		// The informational responses of two backends would mix.
		a.skipInformational = true
		run.attempt = a
		run.response, run.err = a.roundTrip()
		return nil
	})
}

// markFinished accounts for a run that has finished.
func (p *attemptPair) markFinished(run *attemptRun) {
	p.runningCount--
	if run == &p.runs[1] && run.attempt != nil {
		p.x.tried = append(p.x.tried, run.attempt.backend.ID)
	}
}

// discardOther discards an unread failure and the other run in favor of the
// winner.
func (p *attemptPair) discardOther(winner *attemptRun) {
	if p.unreadFailure != nil {
		p.unreadFailure.discard(mustardramp.ResultError)
	}
	if p.runningCount == 0 {
		return
	}
	loser := &p.runs[0]
	if loser == winner {
		loser = &p.runs[1]
	}
	loser.cancel(errSuperseded)
	p.markFinished(<-p.finished)
	loser.discard(mustardramp.ResultAbandoned)
}

// cleanUp waits for the goroutines of both runs and cancels their contexts.
func (p *attemptPair) cleanUp() {
	_ = p.group.Wait()
	for i := range p.runs {
		p.runs[i].cancel(nil)
	}
}

// isGood reports whether the run got a response to relay.
func (r *attemptRun) isGood() bool {
	return r.response != nil && !r.isShed() && r.attempt.mismatchReason(r.response) == "" &&
		resultOfStatus(r.response.StatusCode) == mustardramp.ResultSuccess
}

func (r *attemptRun) isShed() bool {
	_, ok := r.attempt.shedResult(r.response)
	return ok
}

func (r *attemptRun) finish() *outcome {
	return r.attempt.finish(r.response, r.err)
}

// discard ends a run in favor of the other one, without reading its response.
func (r *attemptRun) discard(result mustardramp.Result) {
	if r.attempt == nil {
		return
	}
	if r.err != nil {
		r.finish()
		return
	}
	defer r.attempt.stop()
	_ = r.response.Body.Close()
	r.attempt.releaseSlot(result)
}
