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

// waitLimit is the longest wait for a slot after which a request may still be
// hedged: a longer one means that requests wait.
const waitLimit = 5 * time.Millisecond

var errOvertaken = errs.New("another backend answered first")

// hedging returns the decision on hedges of the service.
func (s *Service) hedging() *retry.Hedge {
	s.ready.Do(func() { s.hedge.Budget = s.Budget })
	return &s.hedge
}

// hedge returns the decision on hedges, or nil when the request must not be
// hedged: only a read without a body may be.
func (x *exchange) hedge() *retry.Hedge {
	read := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if !x.contract.Hedge || !read || !x.route.Idempotent() {
		return nil
	}
	if x.claim != nil || x.body.stream != nil || len(x.body.held) > 0 {
		return nil
	}
	return x.service.hedging()
}

// pair is the first attempt of a request and its hedge. The goroutine of
// dispatch alone changes the exchange.
type pair struct {
	x     *exchange
	hedge *retry.Hedge
	group errgroup.Group
	legs  [2]leg
	// ended takes each leg that was launched, once.
	ended chan *leg
	// running counts the legs that have not ended.
	running int
	// poor is a leg whose failed answer has not been read.
	poor *leg
	last *outcome
}

// leg is one attempt of a pair.
type leg struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// attempt is nil when there was no slot.
	attempt  *attempt
	response *http.Response
	err      error
}

func newPair(x *exchange, hedge *retry.Hedge) *pair {
	p := &pair{x: x, hedge: hedge, ended: make(chan *leg, 2)}
	for i := range p.legs {
		p.legs[i].ctx, p.legs[i].cancel = context.WithCancelCause(x.parent())
	}
	return p
}

// dispatch sends the request to the slot's backend, and to another one when
// the answer is late. The first good answer is relayed and the other attempt
// cancelled. A failure counts once both have ended.
func (p *pair) dispatch(slot mustardramp.Slot) *outcome {
	defer p.stop()
	began := p.x.h.config.Clock.Now()
	p.x.tried = append(p.x.tried, slot.Backend().ID)
	p.launch(&p.legs[0], func(context.Context) (mustardramp.Slot, error) { return slot, nil })
	late, end := p.late()
	defer end()
	for p.running > 0 {
		select {
		case <-late:
			p.launchHedge()
		case l := <-p.ended:
			p.took(l)
			if l.good() {
				p.overtake(l)
				p.hedge.Learn(p.x.route.Rank, p.x.h.config.Clock.Now().Sub(began))
				return l.end()
			}
			p.put(l)
		}
	}
	if p.poor != nil {
		return p.poor.end()
	}
	return p.last
}

// put keeps what a leg without a good answer brought. A failed answer stays
// unread while the other leg may bring a better one.
func (p *pair) put(l *leg) {
	switch {
	case l.attempt == nil:
	case l.response != nil && !l.shed() && p.running > 0:
		l.attempt.due.Stop()
		p.poor = l
	default:
		p.last = l.end()
	}
}

// late returns the channel that tells when the answer is late. It never does
// when there is no hedge.
func (p *pair) late() (<-chan time.Time, func()) {
	delay, ok := p.hedge.Delay(p.x.route.Rank, true)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// launchHedge starts the second leg if the budget pays for it.
func (p *pair) launchHedge() {
	x := p.x
	if !p.hedge.Start(x.route.Rank, x.wait > waitLimit, x.h.config.Clock.Now()) {
		return
	}
	demand := x.demand()
	p.launch(&p.legs[1], func(ctx context.Context) (mustardramp.Slot, error) {
		return x.service.Pool.Acquire(ctx, demand)
	})
}

func (p *pair) launch(l *leg, acquire func(context.Context) (mustardramp.Slot, error)) {
	p.running++
	p.group.Go(func() error {
		defer func() { p.ended <- l }()
		slot, err := acquire(l.ctx)
		if err != nil {
			// The first leg goes on alone.
			return nil
		}
		a := p.x.newAttempt(l.ctx, slot)
		// Informational answers of two backends would cross.
		a.headed = true
		l.attempt = a
		l.response, l.err = a.ask()
		return nil
	})
}

// took accounts for a leg that has ended.
func (p *pair) took(l *leg) {
	p.running--
	if l == &p.legs[1] && l.attempt != nil {
		p.x.tried = append(p.x.tried, l.attempt.backend.ID)
	}
}

// overtake ends what the pair holds beside a good answer.
func (p *pair) overtake(winner *leg) {
	if p.poor != nil {
		p.poor.drop(mustardramp.ResultError)
	}
	if p.running == 0 {
		return
	}
	loser := &p.legs[0]
	if loser == winner {
		loser = &p.legs[1]
	}
	loser.cancel(errOvertaken)
	p.took(<-p.ended)
	loser.drop(mustardramp.ResultAbandoned)
}

// stop frees what the legs hold. Each has ended.
func (p *pair) stop() {
	_ = p.group.Wait()
	for i := range p.legs {
		p.legs[i].cancel(nil)
	}
}

// good reports whether the leg brought an answer to relay.
func (l *leg) good() bool {
	return l.response != nil && !l.shed() && resultOf(l.response.StatusCode) == mustardramp.ResultGood
}

func (l *leg) shed() bool {
	_, shed := l.attempt.shed(l.response)
	return shed
}

func (l *leg) end() *outcome {
	return l.attempt.end(l.response, l.err)
}

// drop ends a leg in favour of the other one. An answer is not read.
func (l *leg) drop(result mustardramp.Result) {
	if l.attempt == nil {
		return
	}
	if l.err != nil {
		l.end()
		return
	}
	defer l.attempt.stop()
	_ = l.response.Body.Close()
	l.attempt.release(result)
}
