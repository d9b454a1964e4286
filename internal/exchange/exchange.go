package exchange

import (
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
)

const (
	// callTimeout bounds one call to a peer. It is twice the half second from
	// which the deployments count a link as congested.
	callTimeout = time.Second
	// changesOnlyCallTimeout bounds a call over a link that carries changes only.
	// It is longer, because giving up a connection loses what waits on it, and a
	// new connection takes longer still.
	changesOnlyCallTimeout = 2500 * time.Millisecond
	// stepInterval is the time between two updates of the membership.
	stepInterval = 250 * time.Millisecond
	// confirmInterval is the time between the starts of two quorum reads of a control
	// host.
	confirmInterval = 500 * time.Millisecond
	// confirmationTTL is the time for which a control host counts as confirmed after
	// the start of its last successful quorum read. It bridges one read that is lost.
	confirmationTTL = 1100 * time.Millisecond
	// methodSync and methodState name the calls among hosts.
	methodSync  = "sync"
	methodState = "state"
)

// Options configure an Exchange.
type Options struct {
	// Self is the host's statement about itself. Its incarnation must grow with
	// each start.
	Self membership.Host
	// Seeds are the fleet addresses of the hosts to call while no other host is
	// known.
	Seeds []netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Rate bounds the bytes sent per second on average; 0 stands for DefaultRate.
	Rate mustardramp.Bytes
	// UpdateRate adds to Rate for records of changes, backends and hosts alone.
	UpdateRate mustardramp.Bytes
	// Log is the replicated log of a control host, and nil on entry hosts.
	// Everything that the log has applied must have been offered before its
	// Confirm returns.
	Log mustardramp.Log
	// Clock tells the time; nil stands for the machine's clock.
	Clock mustardramp.Clock
}

// Exchange spreads records to all hosts and keeps the view of the fleet. New
// makes one.
type Exchange struct {
	options Options
	clock   mustardramp.Clock
	wake    chan struct{}

	mu    sync.Mutex
	core  *Core
	links map[mustardramp.HostName]*peerClient
	// closedUsage counts the bytes of closed links by distance.
	closedUsage map[mustardramp.Distance]Usage
	// probedHost is the lost host that is probed now, or empty.
	probedHost mustardramp.HostName
	// statePollAt is when pollState wakes by itself; statePollWake wakes it earlier.
	statePollAt   time.Time
	statePollWake chan struct{}
	// controlSilent is set while this host asks control hosts and none answers.
	controlSilent bool
	// undecodableCount is the number of undecodable records that was logged last.
	undecodableCount int
	// shortOfBudget is set while the budget holds catch-ups back.
	shortOfBudget bool
	// loggedReady is the readiness that was logged last.
	loggedReady bool

	watchers watchers
}

var _ mustardramp.Exchange = (*Exchange)(nil)

// peerClient is the client side of the link to a peer.
type peerClient struct {
	peer   Peer
	client *link.Client
}

// New returns an exchange that answers calls of peers through the router. It
// makes its own calls while Run runs.
func New(router *link.Router, o Options) *Exchange {
	e := &Exchange{
		options:       o,
		clock:         o.Clock,
		wake:          make(chan struct{}, 1),
		statePollWake: make(chan struct{}, 1),
		links:         make(map[mustardramp.HostName]*peerClient),
		closedUsage:   make(map[mustardramp.Distance]Usage),
	}
	if e.clock == nil {
		e.clock = mustardramp.SystemClock{}
	}
	e.core = NewCore(e.now(), o.Self, o.Seeds, o.Rate)
	e.core.Node.budget.allowExtra(o.UpdateRate)
	link.Handle(router, methodSync, e.handleSync)
	if o.Log != nil {
		link.Handle(router, methodState, e.handleState)
	}
	return e
}

// Run exchanges records until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.sendRequests(ctx, group) })
	group.Go(func() error { return e.watchers.run(ctx, e) })
	if e.options.Log != nil {
		group.Go(func() error { return e.confirmLog(ctx) })
	} else {
		group.Go(func() error { return e.pollState(ctx) })
	}
	err := group.Wait()
	e.closeLinks()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Offer merges a record made at this host and passes it on.
func (e *Exchange) Offer(record mustardramp.Record) {
	e.OfferAll([]mustardramp.Record{record})
}

// OfferAll merges several records, such as those of one change, and passes them
// on.
func (e *Exchange) OfferAll(records []mustardramp.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.core.Offer(e.now(), records...))
}

// Forget drops a record that is no longer needed. Neither it nor an older
// version is accepted again from a host that forgets it later.
func (e *Exchange) Forget(kind mustardramp.RecordKind, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Node.Forget(e.now(), kind, key)
}

// Ready reports whether this host holds a current configuration.
func (e *Exchange) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Node.Ready()
}

// State returns the state of the changes held here.
func (e *Exchange) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Node.State()
}

// Members returns the hosts of the fleet except this one.
func (e *Exchange) Members() []membership.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Members.List()
}

// Reseed replaces the seeds.
func (e *Exchange) Reseed(seeds []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Seeds = seeds
}

// Drain announces to the fleet that this host is leaving.
func (e *Exchange) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.core.Drain(e.now()))
	e.advanceStatePoll()
}

func (e *Exchange) now() time.Time {
	return e.clock.Now()
}

// publish passes accepted records to the watchers and wakes the send loop. The
// caller holds e.mu.
func (e *Exchange) publish(accepted []mustardramp.Record) {
	e.watchers.enqueue(accepted)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// sendRequests makes the calls that the node asks for, until the context ends.
func (e *Exchange) sendRequests(ctx context.Context, group *errgroup.Group) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextStep time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.wake:
		}
		now := e.now()
		if !now.Before(nextStep) {
			e.step(now)
			nextStep = now.Add(stepInterval)
		}
		sends, next := e.poll(now)
		for _, s := range sends {
			group.Go(func() error {
				e.call(ctx, s)
				return nil
			})
		}
		timer.Reset(max(0, earlier(next, nextStep).Sub(now)))
	}
}

// step updates the view of the fleet, sets the links and logs what changed.
func (e *Exchange) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setClients(e.core.Step(now))
	for _, m := range e.core.Members.StandingChanges() {
		klog.InfoS("host-standing", "host", m.Host.Name, "standing", m.Standing.String(), "incarnation", m.Host.Incarnation)
	}
	for _, c := range e.core.Node.CatchUps() {
		klog.InfoS("catch-up-started", "peer", c.From, "kind", c.Kind.String())
	}
	if lost := e.core.Members.ProbedLostHost(); lost != e.probedHost {
		e.probedHost = lost
		klog.InfoS("lost-host-probed", "host", lost)
	}
	if n := e.core.Node.UndecodableCount(); n != e.undecodableCount {
		e.undecodableCount = n
		klog.InfoS("records-undecodable", "count", n)
	}
	if ready := e.core.Node.ready; ready.isReady != e.loggedReady {
		e.loggedReady = ready.isReady
		klog.InfoS("readiness", "ready", ready.isReady, "source", ready.source.String(), "index", e.core.Node.Newest())
	}
	if isShort := e.core.Node.IsShortOfBudget(now); isShort != e.shortOfBudget {
		e.shortOfBudget = isShort
		klog.InfoS("exchange-budget", "short", isShort, "spent", e.core.Node.Spent())
	}
}

// setClients opens and closes links so that there is exactly one to each peer.
func (e *Exchange) setClients(peers []Peer) {
	for name, l := range e.links {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name && p.Address == l.peer.Address }) {
			e.closeLink(name, l)
		}
	}
	for _, p := range peers {
		if e.links[p.Name] == nil {
			client := &link.Client{Address: p.Address, TLS: e.options.TLS, Timeout: callTimeout}
			if p.ChangesOnly {
				client.Timeout = changesOnlyCallTimeout
			}
			e.links[p.Name] = &peerClient{p, client}
		}
	}
}

func (e *Exchange) closeLink(name mustardramp.HostName, l *peerClient) {
	_ = l.client.Close()
	distance := e.options.Self.Place.To(l.peer.Place)
	e.closedUsage[distance] = e.closedUsage[distance].plus(&l.client.Traffic)
	delete(e.links, name)
}

func (e *Exchange) closeLinks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, l := range e.links {
		e.closeLink(name, l)
	}
}

func (e *Exchange) poll(now time.Time) ([]Send, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Node.Poll(now)
}

// call makes one call and passes its result to the core.
func (e *Exchange) call(ctx context.Context, s Send) {
	e.mu.Lock()
	l := e.links[s.To.Name]
	e.mu.Unlock()
	var resp *Response
	err := link.ErrUnreachable.New("link closed")
	if l != nil {
		resp, err = link.Call[*Response](ctx, l.client, methodSync, s.Request)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || resp == nil {
		e.publish(e.core.HandleFailure(e.now(), s))
		return
	}
	accepted, err := e.core.HandleResponse(e.now(), s, resp)
	if err != nil {
		klog.ErrorS(err, "response-rejected", "peer", s.To.Name)
	}
	e.publish(accepted)
	e.advanceStatePoll()
}

// handleSync answers a peer's request.
func (e *Exchange) handleSync(_ context.Context, r *Request) (*Response, error) {
	if r == nil {
		return nil, ErrPack.New("empty request")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	resp, accepted, err := e.core.HandleRequest(e.now(), r)
	e.publish(accepted)
	e.advanceStatePoll()
	return resp, err
}
