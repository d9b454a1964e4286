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

// Methods of the calls between hosts.
const (
	methodRequest  = "lease.ask"
	methodReport   = "lease.report"
	methodAlive    = "lease.alive"
	methodHandOver = "lease.brief"
)

// ErrPeer is the class of errors of calls between lease pools, such as calls for
// an unknown host or service.
var ErrPeer = errs.Class("lease peer")

// Serve registers the handlers for the calls of other hosts. The find function
// returns nil for a service that has not started on this host.
func Serve(router *link.Router, find func(mustardramp.ServiceName) *Pool) {
	link.Handle(router, methodRequest, func(ctx context.Context, request Request) (Response, error) {
		p := find(request.Service)
		if p == nil {
			return Response{}, ErrPeer.New("service %s has not started on this host", request.Service)
		}
		return p.Grant(ctx, request)
	})
	link.Handle(router, methodReport, func(_ context.Context, report Report) (struct{}, error) {
		p := find(report.Service)
		if p == nil {
			return struct{}{}, ErrPeer.New("service %s has not started on this host", report.Service)
		}
		p.ApplyReport(report)
		return struct{}{}, nil
	})
	link.Handle(router, methodHandOver, func(_ context.Context, handover Handover) (struct{}, error) {
		p := find(handover.Service)
		if p == nil {
			return struct{}{}, ErrPeer.New("service %s has not started on this host", handover.Service)
		}
		p.Adopt(handover)
		return struct{}{}, nil
	})
	link.Handle(router, methodAlive, func(context.Context, struct{}) (struct{}, error) {
		return struct{}{}, nil
	})
}

// Network implements Peers by calls over links. One connection to each host
// carries all calls: each host of a fleet calls each keeper, and a connection
// costs a small host more than many lease requests. Hosts answer Concurrency calls
// of one connection concurrently, so that requests that wait for a slot delay
// neither more valuable requests nor the reports that free slots.
type Network struct {
	// Find returns the link address of a host.
	Find func(mustardramp.HostName) (netip.AddrPort, bool)
	// New returns a client for an address; when it is nil, clients use plain TCP.
	New func(netip.AddrPort) *link.Client

	// clients maps a host name to its *client.
	clients sync.Map

	mu     sync.Mutex
	closed bool
}

var _ Peers = (*Network)(nil)

// Concurrency is the number of calls from one host that a keeper answers
// concurrently: all lease requests that the host may have waiting, and reports.
const Concurrency = int(mustardramp.RankCount)*maxWaitingRequests + 16

// connectionSilenceTimeout is how long a connection to a keeper may be silent before it
// is closed. It spans several unanswered probes: on a busy link a single answer is
// often late, and closing the connection loses all requests and grants on it.
const connectionSilenceTimeout = 1200 * time.Millisecond

// client is the connection to one host, with the liveness of its keeper.
type client struct {
	*link.Client
	liveness liveness
}

// Request implements Peers.
func (n *Network) Request(ctx context.Context, host mustardramp.HostName, request Request) (Response, error) {
	if request.Rank >= mustardramp.RankCount {
		return Response{}, ErrPeer.New("unknown rank %d", request.Rank)
	}
	c, err := n.clientFor(host)
	if err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watcher errgroup.Group
	watcher.Go(func() error {
		c.liveness.watch(ctx, c, cancel)
		return nil
	})
	response, err := link.Call[Response](ctx, c, methodRequest, request)
	if err == nil {
		c.liveness.recordAnswer()
	}
	cancel(nil)
	_ = watcher.Wait()
	return response, err
}

// Report implements Peers.
func (n *Network) Report(ctx context.Context, host mustardramp.HostName, report Report) error {
	c, err := n.clientFor(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTimeout)
	defer cancel()
	_, err = link.Call[struct{}](ctx, c, methodReport, report)
	return err
}

// HandOver implements Peers.
func (n *Network) HandOver(ctx context.Context, host mustardramp.HostName, handover Handover) error {
	c, err := n.clientFor(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTimeout)
	defer cancel()
	_, err = link.Call[struct{}](ctx, c, methodHandOver, handover)
	return err
}

// Invoker returns the connection to a host, for calls of other packages. Each call must
// set its own timeout.
func (n *Network) Invoker(host mustardramp.HostName) (link.Invoker, error) {
	return n.clientFor(host)
}

// CloseOthers closes the connections to hosts that are not listed.
func (n *Network) CloseOthers(hosts []Host) {
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

// Close closes all connections. Calls fail afterwards.
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

// clientFor returns the client of a host. It takes the lock only for a new host
// or a new address.
func (n *Network) clientFor(host mustardramp.HostName) (*client, error) {
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
	c := n.newClient(address)
	n.clients.Store(host, c)
	return c, nil
}

// newClient returns a client that connects to the address at its first call.
func (n *Network) newClient(address netip.AddrPort) *client {
	create := n.New
	if create == nil {
		create = func(a netip.AddrPort) *link.Client { return &link.Client{Address: a} }
	}
	c := &client{Client: create(address)}
	// Each call is limited by its own context.
	c.Timeout, c.SilenceTimeout = maxRequestTime, connectionSilenceTimeout
	return c
}
