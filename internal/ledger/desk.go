package ledger

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// tellEvery is the time between two tellings of the time.
const tellEvery = 5 * time.Second

// Desk serves one region's ledger on a control host.
type Desk struct {
	Region mustardramp.Region
	// Member is this control host.
	Member mustardramp.HostName
	State  *State
	Log    mustardramp.Log
	// Clock is nil for the machine's clock.
	Clock mustardramp.Clock
}

// sight is an entry, if there is one.
type sight struct {
	View  View `cbor:"1,keyasint"`
	Found bool `cbor:"2,keyasint"`
}

// done answers what has no result.
type done struct{}

// Names of the calls, after the region's.
const (
	methodClaim   = "claim"
	methodSettle  = "settle"
	methodAbandon = "abandon"
	methodAlive   = "alive"
	methodShow    = "show"
	methodDecide  = "decide"
)

func method(region mustardramp.Region, name string) string {
	return "ledger/" + string(region) + "/" + name
}

// Serve answers the calls of Client.
func (d *Desk) Serve(router *link.Router) {
	handle(d, router, methodClaim, d.claim)
	handle(d, router, methodSettle, func(ctx context.Context, m mustardramp.Settlement) (done, error) {
		_, err := d.propose(ctx, Command{Settle: &m})
		return done{}, err
	})
	handle(d, router, methodAbandon, func(ctx context.Context, c Question) (done, error) {
		_, err := d.propose(ctx, Command{Abandon: &c})
		return done{}, err
	})
	handle(d, router, methodAlive, func(ctx context.Context, c Sign) (done, error) {
		_, err := d.propose(ctx, Command{Alive: &c})
		return done{}, err
	})
	handle(d, router, methodShow, func(ctx context.Context, id mustardramp.ClaimID) (sight, error) {
		view, found, err := d.Show(ctx, id)
		return sight{view, found}, err
	})
	handle(d, router, methodDecide, func(ctx context.Context, c Decision) (View, error) {
		return d.Decide(ctx, c.ID, c.Outcome, c.Who)
	})
}

// handle answers a call. A fault of the ledger is an answer like any other;
// other errors send the client to the next member.
func handle[Req, Resp any](d *Desk, router *link.Router, name string, fn func(context.Context, Req) (Resp, error)) {
	link.Handle(router, method(d.Region, name), func(ctx context.Context, req Req) (answer[Resp], error) {
		value, err := fn(ctx, req)
		var f Fault
		if errors.As(err, &f) {
			return answer[Resp]{Fault: f, Follows: d.follows()}, nil
		}
		return answer[Resp]{Value: value, Follows: d.follows()}, err
	})
}

// follows reports whether another member would answer sooner.
func (d *Desk) follows() bool {
	log, ok := d.Log.(interface{ IsLeading() bool })
	return ok && !log.IsLeading()
}

// Run tells the ledger the time until the context ends, so that spans and
// leases pass while nothing else happens.
func (d *Desk) Run(ctx context.Context) error {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if d.State.isEmpty() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, tellEvery)
		if _, err := d.propose(bounded, Command{}); err != nil {
			klog.V(1).InfoS("ledger-time-not-told", "region", d.Region, "cause", err)
		}
		cancel()
	}
}

// claim answers a question for a claim. What changes nothing is answered from
// the state, once a quorum has confirmed that it is up to date; but a question
// of which another copy may be under way goes through the log.
func (d *Desk) claim(ctx context.Context, c Question) (mustardramp.ClaimReply, error) {
	if _, ok := d.State.peek(&c); ok && !c.Resent {
		if err := d.Log.Confirm(ctx); err != nil {
			return mustardramp.ClaimReply{}, err
		}
		if reply, ok := d.State.peek(&c); ok {
			return reply, nil
		}
	}
	r, err := d.propose(ctx, Command{Claim: &c})
	return r.Reply, err
}

// Show returns an operation's entry, confirmed by a quorum.
func (d *Desk) Show(ctx context.Context, id mustardramp.ClaimID) (View, bool, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return View{}, false, err
	}
	view, ok := d.State.Show(id)
	return view, ok, nil
}

// Decide settles an operation whose outcome is unknown, on an operator's word.
func (d *Desk) Decide(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, who Who) (View, error) {
	r, err := d.propose(ctx, Command{Decide: &Decision{ID: id, Outcome: outcome, Who: who}})
	klog.InfoS("ledger-decided", "region", d.Region, "service", id.Service, "caller", id.Caller, "key", id.Key,
		"outcome", outcome.String(), "who", who.Name, "why", who.Reason, "accepted", err == nil)
	if err != nil {
		return View{}, err
	}
	return *r.View, nil
}

func (d *Desk) propose(ctx context.Context, c Command) (Result, error) {
	c.Member = d.Member
	c.At = Millis(mustardramp.TimeOfDay(d.clock().Now()).UnixMilli())
	encoded, err := c.Encode()
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	reply, err := d.Log.Propose(ctx, encoded)
	if err != nil {
		return Result{}, err
	}
	r, err := DecodeResult(reply)
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	if r.Fault != FaultNone {
		return r, Error.Wrap(r.Fault)
	}
	return r, nil
}

func (d *Desk) clock() mustardramp.Clock {
	if d.Clock == nil {
		return mustardramp.SystemClock{}
	}
	return d.Clock
}
