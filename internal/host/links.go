package host

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// ErrHost is the class of errors about a host that is not known, or an operation
// that no ledger holds.
var ErrHost = errs.Class("host")

// methodState is the link method that returns a host's state.
const methodState = "host/state"

// links holds one link to each host that this host calls by name.
type links struct {
	tls *tls.Config

	mu      sync.Mutex
	members map[mustardramp.HostName]membership.Member
	clients map[mustardramp.HostName]*link.Client
}

// set replaces the members and closes the links to hosts that left or moved to
// another address.
func (l *links) set(members []membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = make(map[mustardramp.HostName]membership.Member, len(members))
	for _, m := range members {
		l.members[m.Host.Name] = m
	}
	for name, client := range l.clients {
		if m, ok := l.members[name]; !ok || m.Host.Address != client.Address {
			_ = client.Close()
			delete(l.clients, name)
		}
	}
}

// invokerFor returns the link to a host and opens it if there is none.
func (l *links) invokerFor(host mustardramp.HostName) (link.Invoker, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.clients[host]; ok {
		return c, nil
	}
	m, ok := l.members[host]
	if !ok {
		return nil, ErrHost.New("host %s is not known here", host)
	}
	if l.clients == nil {
		l.clients = map[mustardramp.HostName]*link.Client{}
	}
	c := &link.Client{Address: m.Host.Address, TLS: l.tls}
	l.clients[host] = c
	return c, nil
}

// address returns the address for links to a host.
func (l *links) address(host mustardramp.HostName) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.members[host]
	return m.Host.Address, ok
}

// adminAddress returns the address of a host's administration API.
func (l *links) adminAddress(host mustardramp.HostName) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.members[host]
	return m.Host.AdminAddress, ok
}

// hostState is the answer to methodState.
type hostState struct {
	// Index is the log index of the newest change in force.
	Index mustardramp.Index `cbor:"1,keyasint"`
	Ready bool              `cbor:"2,keyasint"`
}

// count returns the number of other hosts.
func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members)
}

// state asks a host for its state.
func (l *links) state(ctx context.Context, host mustardramp.HostName) (hostState, error) {
	c, err := l.invokerFor(host)
	if err != nil {
		return hostState{}, err
	}
	return link.Call[hostState](ctx, c, methodState, struct{}{})
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		_ = c.Close()
	}
}
