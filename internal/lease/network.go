package lease

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// The methods of the calls between hosts.
const (
	methodAsk    = "lease.ask"
	methodReport = "lease.report"
	methodAlive  = "lease.alive"
	methodBrief  = "lease.brief"
)

// ErrPeer is the class of errors of calls to hosts and services that are not
// known.
var ErrPeer = errs.Class("lease peer")

// Serve answers the asks and reports of other hosts. The function returns nil
// for a service that has not started on this host.
func Serve(router *link.Router, find func(mustardramp.ServiceName) *Pool) {
	link.Handle(router, methodAsk, func(ctx context.Context, ask Ask) (Grant, error) {
		p := find(ask.Service)
		if p == nil {
			return Grant{}, ErrPeer.New("service %s has not started on this host", ask.Service)
		}
		return p.Grant(ctx, ask)
	})
	link.Handle(router, methodReport, func(_ context.Context, report Report) (struct{}, error) {
		p := find(report.Service)
		if p == nil {
			return struct{}{}, ErrPeer.New("service %s has not started on this host", report.Service)
		}
		p.Take(report)
		return struct{}{}, nil
	})
	link.Handle(router, methodBrief, func(_ context.Context, briefing Briefing) (struct{}, error) {
		p := find(briefing.Service)
		if p == nil {
			return struct{}{}, ErrPeer.New("service %s has not started on this host", briefing.Service)
		}
		p.Adopt(briefing)
		return struct{}{}, nil
	})
	link.Handle(router, methodAlive, func(context.Context, struct{}) (struct{}, error) {
		return struct{}{}, nil
	})
}

// Network implements Peers by calls over links. One connection to each host
// carries all calls: each host of a fleet calls each keeper, and a connection
// costs a small host more than many asks. Hosts answer Concurrency calls of one
// connection side by side, so that asks that wait for a slot delay neither more
// valuable asks nor the reports that free slots.
type Network struct {
	// Find returns the address of a host's links.
	Find func(mustardramp.HostName) (netip.AddrPort, bool)
	// New returns a client; nil stands for a plain one.
	New func(netip.AddrPort) *link.Client

	// clients holds the connections by host: each a *client.
	clients sync.Map

	mu     sync.Mutex
	closed bool
}

var _ Peers = (*Network)(nil)

// Concurrency is the number of calls of one host that a keeper answers side by
// side: the asks of all ranks that a host lets wait, and reports.
const Concurrency = int(mustardramp.RankCount)*maxAsks + 16

// deadTime is the silence after which a connection to a keeper is given up: a few
// questions without an answer. On a busy link a single one is often late, and
// all asks and grants on the connection would be lost with it.
const deadTime = 1200 * time.Millisecond

// client is the connection to one host.
type client struct {
	*link.Client
	pulse pulse
}

// Ask implements Peers.
func (n *Network) Ask(ctx context.Context, host mustardramp.HostName, ask Ask) (Grant, error) {
	if ask.Rank >= mustardramp.RankCount {
		return Grant{}, ErrPeer.New("unknown rank %d", ask.Rank)
	}
	c, err := n.reach(host)
	if err != nil {
		return Grant{}, err
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	var watch errgroup.Group
	watch.Go(func() error {
		c.pulse.watch(ctx, c, end)
		return nil
	})
	grant, err := link.Call[Grant](ctx, c, methodAsk, ask)
	if err == nil {
		c.pulse.heard()
	}
	end(nil)
	_ = watch.Wait()
	return grant, err
}

// Report implements Peers.
func (n *Network) Report(ctx context.Context, host mustardramp.HostName, report Report) error {
	c, err := n.reach(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTimeout)
	defer cancel()
	_, err = link.Call[struct{}](ctx, c, methodReport, report)
	return err
}

// Brief implements Peers.
func (n *Network) Brief(ctx context.Context, host mustardramp.HostName, briefing Briefing) error {
	c, err := n.reach(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTimeout)
	defer cancel()
	_, err = link.Call[struct{}](ctx, c, methodBrief, briefing)
	return err
}

// Keep ends the connections to the hosts that are not listed.
func (n *Network) Keep(hosts []Host) {
	listed := make(map[mustardramp.HostName]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
	}
	n.clients.Range(func(host, c any) bool {
		if !listed[host.(mustardramp.HostName)] {
			n.clients.Delete(host)
			_ = c.(*client).Close()
		}
		return true
	})
}

// Close ends all connections.
func (n *Network) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	var group errs.Group
	n.clients.Range(func(host, c any) bool {
		n.clients.Delete(host)
		group.Add(c.(*client).Close())
		return true
	})
	return group.Err()
}

// reach returns the connection to a host. It takes a lock only for a host or
// an address that is new.
func (n *Network) reach(host mustardramp.HostName) (*client, error) {
	address, ok := n.Find(host)
	if !ok {
		return nil, ErrPeer.New("no address of host %s is known", host)
	}
	if c, ok := n.clients.Load(host); ok && c.(*client).Address == address {
		return c.(*client), nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrPeer.New("the network is closed")
	}
	old, ok := n.clients.Load(host)
	if ok && old.(*client).Address == address {
		return old.(*client), nil
	}
	if ok {
		_ = old.(*client).Close()
	}
	c := n.connect(address)
	n.clients.Store(host, c)
	return c, nil
}

func (n *Network) connect(address netip.AddrPort) *client {
	create := n.New
	if create == nil {
		create = func(a netip.AddrPort) *link.Client { return &link.Client{Address: a} }
	}
	c := &client{Client: create(address)}
	// The context of each call bounds it.
	c.Timeout, c.DeadAfter = askTime, deadTime
	return c
}
