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
	// callTime bounds one call to a peer: twice the wait from which a link counts
	// as choked on the deployments, half a second.
	callTime = time.Second
	// feedTime bounds a call that carries a change to a fed host. A connection
	// that is given up loses what waits on it, and a new one takes longer.
	feedTime = 2500 * time.Millisecond
	// stepPause is the pause between two judgements of the membership.
	stepPause = 250 * time.Millisecond
	// confirmPause is the pause between two quorum reads.
	confirmPause = time.Second
	// methodSync and methodState are the calls among hosts.
	methodSync  = "sync"
	methodState = "state"
)

// Options are what an Exchange needs to know.
type Options struct {
	// Self is the host's statement; its incarnation must grow with each start.
	Self membership.Host
	// Seeds are the fleet addresses of some hosts, to be called while no other
	// host is known.
	Seeds []netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Rate bounds the bytes sent a second; 0 is DefaultRate.
	Rate mustardramp.Bytes
	// Log is set on control hosts only. What the log has applied must have
	// been offered before its Confirm returns.
	Log mustardramp.Log
	// Clock is nil for the machine's clock.
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
	// closed counts the bytes of links that are no longer held.
	closed map[mustardramp.Distance]Usage
	// called is the lost host that is called at present, or none.
	called mustardramp.HostName
	// unheard is true while control hosts are asked and none answers.
	unheard bool
	// short is true while the budget holds catch-ups back.
	short bool

	watchers watchers
}

var _ mustardramp.Exchange = (*Exchange)(nil)

// peerClient is the link to a peer.
type peerClient struct {
	peer   Peer
	client *link.Client
}

// New returns an exchange that runs once Run is called. Calls of peers are
// answered through the router.
func New(router *link.Router, o Options) *Exchange {
	e := &Exchange{
		options: o,
		clock:   o.Clock,
		wake:    make(chan struct{}, 1),
		links:   make(map[mustardramp.HostName]*peerClient),
		closed:  make(map[mustardramp.Distance]Usage),
	}
	if e.clock == nil {
		e.clock = mustardramp.SystemClock{}
	}
	e.core = NewCore(e.now(), o.Self, o.Seeds, o.Rate)
	link.Handle(router, methodSync, e.answer)
	if o.Log != nil {
		link.Handle(router, methodState, e.confirmed)
	}
	return e
}

// Run exchanges records until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.exchange(ctx, group) })
	group.Go(func() error { return e.watchers.run(ctx, e) })
	if e.options.Log != nil {
		group.Go(func() error { return e.confirmLog(ctx) })
	} else {
		group.Go(func() error { return e.inquire(ctx) })
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

// OfferAll merges several records, such as those of one change.
func (e *Exchange) OfferAll(records []mustardramp.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.took(e.core.Offer(e.now(), records...))
}

// Forget drops a record that is no longer needed, so that neither it nor an
// older one comes back from a host that forgets later.
func (e *Exchange) Forget(kind mustardramp.RecordKind, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Node.Forget(e.now(), kind, key)
}

// Ready reports whether this host knows a current configuration.
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

// Members returns the hosts of the fleet but this one.
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

// Drain tells the fleet that this host leaves.
func (e *Exchange) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.took(e.core.Drain(e.now()))
}

func (e *Exchange) now() time.Time {
	return e.clock.Now()
}

// took passes news on to the watchers. The lock is held.
func (e *Exchange) took(news []mustardramp.Record) {
	e.watchers.add(news)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// exchange makes the calls that the node decides on.
func (e *Exchange) exchange(ctx context.Context, group *errgroup.Group) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var step time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.wake:
		}
		now := e.now()
		if !now.Before(step) {
			e.step(now)
			step = now.Add(stepPause)
		}
		sends, next := e.poll(now)
		for _, s := range sends {
			group.Go(func() error {
				e.call(ctx, s)
				return nil
			})
		}
		timer.Reset(max(0, earlier(next, step).Sub(now)))
	}
}

// step judges the fleet and sets the links.
func (e *Exchange) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setClients(e.core.Step(now))
	for _, m := range e.core.Members.Turned() {
		klog.InfoS("host-standing", "host", m.Host.Name, "standing", m.Standing.String(), "incarnation", m.Host.Incarnation)
	}
	for _, c := range e.core.Node.CatchUps() {
		klog.InfoS("catch-up", "from", c.From, "kind", c.Kind.String())
	}
	if lost := e.core.Members.Called(); lost != e.called {
		e.called = lost
		klog.InfoS("lost-host-called", "host", lost)
	}
	if isShort := e.core.Node.IsShort(now); isShort != e.short {
		e.short = isShort
		klog.InfoS("exchange-budget", "short", isShort, "spent", e.core.Node.Spent())
	}
}

// setClients opens and closes links so that there is one to each peer.
func (e *Exchange) setClients(peers []Peer) {
	for name, l := range e.links {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name && p.Address == l.peer.Address }) {
			e.closeLink(name, l)
		}
	}
	for _, p := range peers {
		if e.links[p.Name] == nil {
			client := &link.Client{Address: p.Address, TLS: e.options.TLS, Timeout: callTime}
			if p.Only {
				client.Timeout = feedTime
			}
			e.links[p.Name] = &peerClient{p, client}
		}
	}
}

func (e *Exchange) closeLink(name mustardramp.HostName, l *peerClient) {
	_ = l.client.Close()
	distance := e.options.Self.Place.To(l.peer.Place)
	e.closed[distance] = e.closed[distance].plus(&l.client.Traffic)
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

// call makes one call and takes in how it ended.
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
		e.took(e.core.Failed(e.now(), s))
		return
	}
	news, err := e.core.Done(e.now(), s, resp)
	if err != nil {
		klog.ErrorS(err, "response-unreadable", "peer", s.To.Name)
	}
	e.took(news)
}

// answer handles a peer's request.
func (e *Exchange) answer(_ context.Context, r *Request) (*Response, error) {
	if r == nil {
		return nil, ErrPack.New("empty request")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	resp, news, err := e.core.Answer(e.now(), r)
	e.took(news)
	return resp, err
}
