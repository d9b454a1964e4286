package ledger

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// clockInterval is the time between two proposals that only carry the clock of
// this control host.
const clockInterval = 5 * time.Second

// Server serves one region's ledger on a control host.
type Server struct {
	Region mustardramp.Region
	// Member is the name of this control host.
	Member mustardramp.HostName
	State  *State
	Log    mustardramp.Log
	// Clock gives the time of each command; nil stands for the system clock.
	Clock mustardramp.Clock
}

// showReply holds an entry, if the ledger has one.
type showReply struct {
	View  View `cbor:"1,keyasint"`
	Found bool `cbor:"2,keyasint"`
}

// emptyReply is the reply to a call without a result.
type emptyReply struct{}

// The last part of a link method's name, after the region.
const (
	methodClaim     = "claim"
	methodSettle    = "settle"
	methodAbandon   = "abandon"
	methodHeartbeat = "alive"
	methodShow      = "show"
	methodDecide    = "decide"
)

// method returns the name under which a region's ledger serves a call.
func method(region mustardramp.Region, name string) string {
	return "ledger/" + string(region) + "/" + name
}

// Serve registers the methods that Client calls.
func (s *Server) Serve(router *link.Router) {
	handle(s, router, methodClaim, s.claim)
	handle(s, router, methodSettle, func(ctx context.Context, m mustardramp.Settlement) (emptyReply, error) {
		_, err := s.propose(ctx, Command{Settle: &m})
		return emptyReply{}, err
	})
	handle(s, router, methodAbandon, func(ctx context.Context, request ClaimRequest) (emptyReply, error) {
		_, err := s.propose(ctx, Command{Abandon: &request})
		return emptyReply{}, err
	})
	handle(s, router, methodHeartbeat, func(ctx context.Context, h Heartbeat) (emptyReply, error) {
		_, err := s.propose(ctx, Command{Heartbeat: &h})
		return emptyReply{}, err
	})
	handle(s, router, methodShow, func(ctx context.Context, id mustardramp.ClaimID) (showReply, error) {
		view, found, err := s.Show(ctx, id)
		return showReply{view, found}, err
	})
	handle(s, router, methodDecide, func(ctx context.Context, c Decision) (View, error) {
		return s.Decide(ctx, c.ID, c.Outcome, c.Operator)
	})
}

// handle registers one method. A Fault travels inside the response, because it
// is the ledger's own answer; any other error makes the client try the next
// member of the group.
func handle[Req, Resp any](s *Server, router *link.Router, name string, fn func(context.Context, Req) (Resp, error)) {
	link.Handle(router, method(s.Region, name), func(ctx context.Context, req Req) (response[Resp], error) {
		value, err := fn(ctx, req)
		var f Fault
		if errors.As(err, &f) {
			return response[Resp]{Fault: f, Follower: s.isFollower()}, nil
		}
		return response[Resp]{Value: value, Follower: s.isFollower()}, err
	})
}

// isFollower reports whether this member passes commands on to a leader, which
// would answer sooner. A log that does not know its leader counts as leading.
func (s *Server) isFollower() bool {
	log, ok := s.Log.(interface{ IsLeading() bool })
	return ok && !log.IsLeading()
}

// Run proposes the clock of this control host at intervals until the context
// ends, so that retention times and leases end without other commands too.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.State.isEmpty() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, clockInterval)
		if _, err := s.propose(bounded, Command{}); err != nil {
			klog.V(1).InfoS("ledger-time-not-proposed", "region", s.Region, "cause", err)
		}
		cancel()
	}
}

// claim answers a claim request. A request that would change nothing is
// answered from the state once a quorum has confirmed that the state is up to
// date. A resent request always goes through the log, because an earlier copy
// may still be on its way and be granted later.
func (s *Server) claim(ctx context.Context, request ClaimRequest) (mustardramp.ClaimReply, error) {
	if _, ok := s.State.peek(&request); ok && !request.Resent {
		if err := s.Log.Confirm(ctx); err != nil {
			return mustardramp.ClaimReply{}, err
		}
		if reply, ok := s.State.peek(&request); ok {
			return reply, nil
		}
	}
	r, err := s.propose(ctx, Command{Claim: &request})
	return r.Reply, err
}

// Show returns the entry of an operation, confirmed by a quorum.
func (s *Server) Show(ctx context.Context, id mustardramp.ClaimID) (View, bool, error) {
	if err := s.Log.Confirm(ctx); err != nil {
		return View{}, false, err
	}
	view, ok := s.State.Show(id)
	return view, ok, nil
}

// Decide records the outcome that an operator states for an operation whose
// outcome is unknown.
func (s *Server) Decide(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, operator Operator) (View, error) {
	r, err := s.propose(ctx, Command{Decide: &Decision{ID: id, Outcome: outcome, Operator: operator}})
	klog.InfoS("ledger-decided", "region", s.Region, "service", id.Service, "caller", id.Caller, "key", id.Key,
		"outcome", outcome.String(), "who", operator.Name, "why", operator.Reason, "accepted", err == nil)
	if err != nil {
		return View{}, err
	}
	return *r.View, nil
}

// propose commits a command with the name and time of this control host. A
// Fault in the result is returned as an error too.
func (s *Server) propose(ctx context.Context, c Command) (Result, error) {
	c.Member = s.Member
	c.At = Millis(mustardramp.TimeOfDay(s.clock().Now()).UnixMilli())
	encoded, err := c.Encode()
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	reply, err := s.Log.Propose(ctx, encoded)
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

func (s *Server) clock() mustardramp.Clock {
	if s.Clock == nil {
		return mustardramp.SystemClock{}
	}
	return s.Clock
}
