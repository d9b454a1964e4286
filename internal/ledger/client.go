package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

const (
	// callTimeout bounds one call to one control host.
	callTimeout = time.Second
	// retryPause is the pause after all control hosts of a region have failed.
	retryPause = 50 * time.Millisecond
	// renewInterval is the time between two heartbeats. It is a fraction of
	// HostLease, so that a lease survives some lost heartbeats.
	renewInterval = 5 * time.Second
	// maxPendingAbandonments bounds the queue of claim requests to be
	// abandoned.
	maxPendingAbandonments = 4096
)

// Client calls the ledgers of all regions from an entry host. It implements
// mustardramp.Ledger. Run must run concurrently.
type Client struct {
	host         mustardramp.HostName
	incarnation  mustardramp.Incarnation
	regions      map[mustardramp.Region]*regionClient
	abandonments chan ClaimRequest
}

var _ mustardramp.Ledger = (*Client)(nil)

// regionClient calls the ledger of one region.
type regionClient struct {
	region  mustardramp.Region
	members []link.Invoker
	// preferred is the index of the member to call first.
	preferred atomic.Int64

	mu sync.Mutex
	// held maps the operations with a granted, unsettled claim to the number of
	// the granted attempt.
	held map[mustardramp.ClaimID]uint64
}

// NewClient returns the ledger client of an entry host. The groups hold the
// invokers of the control hosts of each region.
func NewClient(host mustardramp.HostName, incarnation mustardramp.Incarnation, groups map[mustardramp.Region][]link.Invoker) *Client {
	c := &Client{
		host:         host,
		incarnation:  incarnation,
		regions:      map[mustardramp.Region]*regionClient{},
		abandonments: make(chan ClaimRequest, maxPendingAbandonments),
	}
	for region, members := range groups {
		c.regions[region] = &regionClient{region: region, members: members, held: map[mustardramp.ClaimID]uint64{}}
	}
	return c
}

// clientFor returns the client of a region's ledger.
func (c *Client) clientFor(region mustardramp.Region) (*regionClient, error) {
	r := c.regions[region]
	if r == nil {
		return nil, Error.New("region %q has no ledger", region)
	}
	return r, nil
}

// Claim implements mustardramp.Ledger. The request is resent under one nonce
// until it is answered. An unanswered request is abandoned, which frees a claim
// that was granted although its reply was lost.
func (c *Client) Claim(ctx context.Context, claim mustardramp.Claim) (mustardramp.ClaimReply, error) {
	r, err := c.clientFor(claim.Home)
	if err != nil {
		return mustardramp.ClaimReply{}, err
	}
	reply, err := c.claimOnce(ctx, r, claim)
	for ctx.Err() == nil && errors.Is(err, FaultInvalidNonce) {
		reply, err = c.claimOnce(ctx, r, claim)
	}
	if err == nil && reply.State == mustardramp.ClaimGranted {
		r.hold(claim.ID, reply.Attempt)
	}
	return reply, err
}

// claimOnce requests a claim under a new nonce.
func (c *Client) claimOnce(ctx context.Context, r *regionClient, claim mustardramp.Claim) (mustardramp.ClaimReply, error) {
	request := ClaimRequest{Claim: claim, Nonce: Nonce(rand.Uint64())}
	reply, err := callGroup[mustardramp.ClaimReply](ctx, r, methodClaim, func(sent int) ClaimRequest {
		request.Resent = sent > 0
		return request
	})
	if err != nil && !isRefused(err) {
		c.queueAbandonment(request)
	}
	return reply, err
}

// Settle implements mustardramp.Ledger. It may be repeated. The ledger refuses a
// settlement that comes after an operator's Decision. A refusal is only logged,
// because nothing is left to record.
func (c *Client) Settle(ctx context.Context, settlement mustardramp.Settlement) error {
	r, err := c.clientFor(settlement.Home)
	if err != nil {
		return err
	}
	_, err = callGroup[emptyReply](ctx, r, methodSettle, fixedRequest(settlement))
	if isRefused(err) {
		klog.ErrorS(err, "settlement-refused", "service", settlement.ID.Service, "caller", settlement.ID.Caller,
			"key", settlement.ID.Key, "outcome", settlement.Outcome.String())
		err = nil
	}
	if err == nil {
		r.release(settlement.ID, settlement.Attempt)
	}
	return err
}

// Show returns the entry of an operation from the region that holds it.
func (c *Client) Show(ctx context.Context, id mustardramp.ClaimID) (View, bool, error) {
	var failed error
	for _, r := range c.regions {
		reply, err := callGroup[showReply](ctx, r, methodShow, fixedRequest(id))
		if err == nil && reply.Found {
			return reply.View, true, nil
		}
		failed = errors.Join(failed, err)
	}
	return View{}, false, failed
}

// Decide records the outcome that an operator states for an operation whose
// outcome is unknown, in the region that holds its entry.
func (c *Client) Decide(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, operator Operator) (View, error) {
	failed := Error.New("no ledger holds the key")
	for _, r := range c.regions {
		reply, err := callGroup[showReply](ctx, r, methodShow, fixedRequest(id))
		if err != nil {
			failed = err
			continue
		}
		if reply.Found {
			return callGroup[View](ctx, r, methodDecide, fixedRequest(Decision{id, outcome, operator}))
		}
	}
	return View{}, failed
}

// Run sends heartbeats to the ledgers while this host holds claims, and sends
// the queued abandonments, until the context ends.
func (c *Client) Run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	for _, r := range c.regions {
		work.Go(func() error { return c.keepAlive(ctx, r) })
	}
	work.Go(func() error { return c.sendAbandonments(ctx) })
	return work.Wait()
}

// keepAlive sends heartbeats to a region while this host holds claims there.
func (c *Client) keepAlive(ctx context.Context, r *regionClient) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !r.hasClaims() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, renewInterval)
		if _, err := callGroup[emptyReply](bounded, r, methodHeartbeat, fixedRequest(Heartbeat{c.host, c.incarnation})); err != nil {
			klog.V(1).InfoS("ledger-heartbeat-failed", "region", r.region, "cause", err)
		}
		cancel()
	}
}

// queueAbandonment queues a claim request to be abandoned. When the queue is full,
// the request is dropped: a claim granted to it stays with this host until the
// lease of the host ends, and its outcome is unknown from then on.
func (c *Client) queueAbandonment(request ClaimRequest) {
	select {
	case c.abandonments <- request:
	default:
		klog.InfoS("abandonment-dropped", "service", request.Claim.ID.Service, "key", request.Claim.ID.Key)
	}
}

// sendAbandonments sends the queued abandonments, one after another.
func (c *Client) sendAbandonments(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-c.abandonments:
			c.retryAbandonment(ctx, request)
		}
	}
}

// retryAbandonment sends an abandonment until the ledger has answered it.
func (c *Client) retryAbandonment(ctx context.Context, request ClaimRequest) {
	r := c.regions[request.Claim.Home]
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, renewInterval)
		_, err := callGroup[emptyReply](bounded, r, methodAbandon, fixedRequest(request))
		cancel()
		if err == nil || isRefused(err) {
			return
		}
	}
}

// setPreferred makes the next call start with member n, which has answered, or
// with the one after it if member n is not the leader.
func (r *regionClient) setPreferred(n int, isFollower bool) {
	if isFollower {
		n = (n + 1) % len(r.members)
	}
	r.preferred.Store(int64(n))
}

func (r *regionClient) hold(id mustardramp.ClaimID, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[id] = attempt
}

func (r *regionClient) release(id mustardramp.ClaimID, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[id] == attempt {
		delete(r.held, id)
	}
}

func (r *regionClient) hasClaims() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held) > 0
}

// isRefused reports whether the ledger itself refused, as opposed to a failed
// call.
func isRefused(err error) bool {
	var f Fault
	return errors.As(err, &f)
}

// callGroup calls the members one after another until one answers or the context
// ends. Once the leader is known, it is called first. The request function gets
// the number of copies sent before; its requests must be safe to repeat.
func callGroup[Resp, Req any](ctx context.Context, r *regionClient, name string, request func(sent int) Req) (Resp, error) {
	var none Resp
	failed := Error.New("region %q has no control hosts", r.region)
	sent := 0
	for len(r.members) > 0 {
		first := int(r.preferred.Load())
		for i := range r.members {
			n := (first + i) % len(r.members)
			reply, err := callMember[response[Resp]](ctx, r.members[n], method(r.region, name), request(sent))
			sent++
			if err == nil {
				r.setPreferred(n, reply.Follower)
				return reply.value()
			}
			failed = err
			if ctx.Err() != nil {
				return none, failed
			}
		}
		if !pause(ctx) {
			return none, failed
		}
	}
	return none, failed
}

// fixedRequest returns a function for callGroup that returns the same request
// each time.
func fixedRequest[Req any](req Req) func(int) Req {
	return func(int) Req { return req }
}

// callMember makes one call, bounded by callTimeout.
func callMember[Resp, Req any](ctx context.Context, member link.Invoker, name string, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return link.Call[Resp](ctx, member, name, req)
}

// pause waits for retryPause. It reports false if the context ended first.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
