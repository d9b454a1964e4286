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
	// askTimeout bounds one call to one control host.
	askTimeout = time.Second
	// askPause is the pause between two rounds of calls.
	askPause = 50 * time.Millisecond
	// aliveEvery is the time between two signs of life. Several fit into
	// HostLease.
	aliveEvery = 5 * time.Second
	// abandonLimit bounds the questions that wait to be abandoned.
	abandonLimit = 4096
)

// Client asks the ledgers of all regions from an entry host. It implements
// mustardramp.Ledger. Run must run beside it.
type Client struct {
	host        mustardramp.HostName
	incarnation mustardramp.Incarnation
	homes       map[mustardramp.Region]*home
	abandoned   chan Question
}

var _ mustardramp.Ledger = (*Client)(nil)

// home is one region's ledger.
type home struct {
	region  mustardramp.Region
	members []link.Caller
	// last is the member to ask first, an index into members.
	last atomic.Int64

	mu sync.Mutex
	// held holds the granted claims that are not settled, by operation.
	held map[mustardramp.ClaimID]uint64
}

// NewClient returns the ledger of an entry host. It knows the control hosts of
// each region's group.
func NewClient(host mustardramp.HostName, incarnation mustardramp.Incarnation, homes map[mustardramp.Region][]link.Caller) *Client {
	c := &Client{
		host:        host,
		incarnation: incarnation,
		homes:       map[mustardramp.Region]*home{},
		abandoned:   make(chan Question, abandonLimit),
	}
	for region, members := range homes {
		c.homes[region] = &home{region: region, members: members, held: map[mustardramp.ClaimID]uint64{}}
	}
	return c
}

func (c *Client) home(region mustardramp.Region) (*home, error) {
	h := c.homes[region]
	if h == nil {
		return nil, Error.New("region %q has no ledger", region)
	}
	return h, nil
}

// Claim implements mustardramp.Ledger. The question is sent under one nonce
// until it is answered; if it is not, it is abandoned, so that a claim that
// was granted unheard is freed.
func (c *Client) Claim(ctx context.Context, claim mustardramp.Claim) (mustardramp.ClaimReply, error) {
	h, err := c.home(claim.Home)
	if err != nil {
		return mustardramp.ClaimReply{}, err
	}
	reply, err := c.question(ctx, h, claim)
	for ctx.Err() == nil && errors.Is(err, FaultBurned) {
		reply, err = c.question(ctx, h, claim)
	}
	if err == nil && reply.State == mustardramp.ClaimGranted {
		h.hold(claim.ID, reply.Attempt)
	}
	return reply, err
}

// question asks under one nonce.
func (c *Client) question(ctx context.Context, h *home, claim mustardramp.Claim) (mustardramp.ClaimReply, error) {
	q := Question{Claim: claim, Nonce: Nonce(rand.Uint64())}
	reply, err := ask[mustardramp.ClaimReply](ctx, h, methodClaim, func(sent int) Question {
		q.Resent = sent > 0
		return q
	})
	if err != nil && !isRefused(err) {
		c.abandon(q)
	}
	return reply, err
}

// Settle implements mustardramp.Ledger. It may be repeated. A settlement that
// the ledger refuses has been overtaken, by an operator's Decision: there is
// nothing left to record.
func (c *Client) Settle(ctx context.Context, settlement mustardramp.Settlement) error {
	h, err := c.home(settlement.Home)
	if err != nil {
		return err
	}
	_, err = ask[done](ctx, h, methodSettle, same(settlement))
	if isRefused(err) {
		klog.ErrorS(err, "settlement-refused", "service", settlement.ID.Service, "caller", settlement.ID.Caller,
			"key", settlement.ID.Key, "outcome", settlement.Outcome.String())
		err = nil
	}
	if err == nil {
		h.release(settlement.ID, settlement.Attempt)
	}
	return err
}

// Show returns an operation's entry, whichever region holds it.
func (c *Client) Show(ctx context.Context, id mustardramp.ClaimID) (View, bool, error) {
	var failed error
	for _, h := range c.homes {
		s, err := ask[sight](ctx, h, methodShow, same(id))
		if err == nil && s.Found {
			return s.View, true, nil
		}
		failed = errors.Join(failed, err)
	}
	return View{}, false, failed
}

// Decide settles an operation whose outcome is unknown, on an operator's word.
func (c *Client) Decide(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, who Who) (View, error) {
	failed := Error.New("no ledger holds the key")
	for _, h := range c.homes {
		s, err := ask[sight](ctx, h, methodShow, same(id))
		if err != nil {
			failed = err
			continue
		}
		if s.Found {
			return ask[View](ctx, h, methodDecide, same(Decision{id, outcome, who}))
		}
	}
	return View{}, failed
}

// Run tells the ledgers that this host is alive while it holds claims, and
// abandons questions that were not answered.
func (c *Client) Run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	for _, h := range c.homes {
		work.Go(func() error { return c.keepAlive(ctx, h) })
	}
	work.Go(func() error { return c.abandonAll(ctx) })
	return work.Wait()
}

func (c *Client) keepAlive(ctx context.Context, h *home) error {
	ticker := time.NewTicker(aliveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !h.holdsAny() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, aliveEvery)
		if _, err := ask[done](bounded, h, methodAlive, same(Sign{c.host, c.incarnation})); err != nil {
			klog.V(1).InfoS("ledger-not-reached", "region", h.region, "cause", err)
		}
		cancel()
	}
}

// abandon remembers a question to be abandoned. When too many wait, the claim
// stays with this host until its lease ends, and is unknown from then on.
func (c *Client) abandon(a Question) {
	select {
	case c.abandoned <- a:
	default:
		klog.InfoS("abandoned-claim-lost", "service", a.Claim.ID.Service, "key", a.Claim.ID.Key)
	}
}

func (c *Client) abandonAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-c.abandoned:
			c.persist(ctx, a)
		}
	}
}

// persist repeats an abandonment until the ledger has it.
func (c *Client) persist(ctx context.Context, a Question) {
	h := c.homes[a.Claim.Home]
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, aliveEvery)
		_, err := ask[done](bounded, h, methodAbandon, same(a))
		cancel()
		if err == nil || isRefused(err) {
			return
		}
	}
}

// prefer has the next question start with the member that answered, or with
// the one after it, as long as it is not the leader.
func (h *home) prefer(n int, follows bool) {
	if follows {
		n = (n + 1) % len(h.members)
	}
	h.last.Store(int64(n))
}

func (h *home) hold(id mustardramp.ClaimID, attempt uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[id] = attempt
}

func (h *home) release(id mustardramp.ClaimID, attempt uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[id] == attempt {
		delete(h.held, id)
	}
}

func (h *home) holdsAny() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held) > 0
}

// isRefused reports whether the ledger itself answered with an error.
func isRefused(err error) bool {
	var f Fault
	return errors.As(err, &f)
}

// ask calls the members one after the other, the leader first once it is found,
// until one answers or the context ends. What it asks may be repeated.
func ask[Resp, Req any](ctx context.Context, h *home, name string, request func(sent int) Req) (Resp, error) {
	var none Resp
	failed := Error.New("region %q has no control hosts", h.region)
	sent := 0
	for len(h.members) > 0 {
		first := int(h.last.Load())
		for i := range h.members {
			n := (first + i) % len(h.members)
			reply, err := askOne[answer[Resp]](ctx, h.members[n], method(h.region, name), request(sent))
			sent++
			if err == nil {
				h.prefer(n, reply.Follows)
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

// same sends the same request each time.
func same[Req any](req Req) func(int) Req {
	return func(int) Req { return req }
}

func askOne[Resp, Req any](ctx context.Context, member link.Caller, name string, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return link.Call[Resp](ctx, member, name, req)
}

// pause reports false when the context ended first.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(askPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
