package host

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/exchange"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/refusal"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/internal/tally"
)

// ReadyPath is where a balancer asks an entry host for its readiness, at the
// address for announcements.
const ReadyPath = "/v1/ready"

const (
	// stepPause is the time between two decisions on the backends' standings.
	stepPause = 100 * time.Millisecond
)

// EntryConfig are the settings of an entry host, checked.
type EntryConfig struct {
	Common
	Listen netip.AddrPort
	// Announce is not valid where backends announce themselves elsewhere.
	Announce      netip.AddrPort
	AnnounceToken string
	CallerHeader  string
	TLS           Files
	RefusalBytes  mustardramp.Bytes
	// LinkRate is the rate of the host's own link each way in bytes a second; 0
	// means that it need not be minded.
	LinkRate mustardramp.Bytes
	// StopDelay is the time from the fall of readiness to the end of
	// accepting.
	StopDelay time.Duration
	// Headers names the headers shared with callers and backends.
	Headers entry.Headers
	// Ratio is the share of a service's requests that further attempts of the
	// whole fleet may be, and Slack their number beside it in ten seconds. They
	// hold for services of a routing table; a Ratio of 0 leaves the table's
	// default.
	Ratio float64
	Slack int
}

// Entry is the process of an entry host. NewEntry makes one.
type Entry struct {
	config      EntryConfig
	clock       mustardramp.Clock
	incarnation mustardramp.Incarnation
	secrets     secrets

	contracts Contracts
	services  services
	roster    roster.Table
	ejector   *ejection.Ejector
	refusals  refusal.Memory
	tally     tally.Tally
	ledger    *ledger.Client
	links     links
	network   lease.Network
	server    link.Server
	exchange  *exchange.Exchange
	handler   *entry.Handler
	traffic   *entry.Server
	// ready is set once the host knows a current configuration; it is never
	// unset.
	ready atomic.Bool
	// drained is closed when an operator drains the host.
	drained   chan struct{}
	drainOnce sync.Once

	// The listeners are open from NewEntry on, so that their addresses are
	// known.
	trafficListener, announceListener, adminListener, linkListener net.Listener
	// surfaces are what Open added.
	surfaces []*surface
}

// NewEntry opens the host's listeners.
func NewEntry(config EntryConfig) (*Entry, error) {
	e := &Entry{
		config:      config,
		clock:       config.clock(),
		incarnation: config.incarnation(),
		drained:     make(chan struct{}),
	}
	var err error
	if e.secrets, err = config.secrets(config.TLS); err != nil {
		return nil, err
	}
	if err := e.open(); err != nil {
		return nil, err
	}
	e.assemble()
	return e, nil
}

func (e *Entry) open() error {
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{&e.trafficListener, e.config.Listen},
		{&e.announceListener, e.config.Announce},
		{&e.adminListener, e.config.Admin},
		{&e.linkListener, e.config.Link},
	} {
		if !l.address.IsValid() {
			continue
		}
		var err error
		if *l.listener, err = listen(l.address); err != nil {
			return err
		}
	}
	return nil
}

// Traffic returns the address for callers.
func (e *Entry) Traffic() netip.AddrPort {
	return addressOf(e.trafficListener)
}

// Announce returns the address for backends' announcements.
func (e *Entry) Announce() netip.AddrPort {
	return addressOf(e.announceListener)
}

// Admin returns the address of the administration API.
func (e *Entry) Admin() netip.AddrPort {
	return addressOf(e.adminListener)
}

// Link returns the address for the other hosts.
func (e *Entry) Link() netip.AddrPort {
	return addressOf(e.linkListener)
}

// Contracts returns the contracts that the host holds.
func (e *Entry) Contracts() *Contracts {
	return &e.contracts
}

// Serving counts the services with a usable backend.
func (e *Entry) Serving() int {
	if e.current() == nil {
		return 0
	}
	n := 0
	for _, r := range e.services.all() {
		if anyUsable(r.Standings()) {
			n++
		}
	}
	return n
}

// Standings returns what the host decided about a service's backends.
func (e *Entry) Standings(service mustardramp.ServiceName) []mustardramp.Standing {
	if r := e.services.running(service); r != nil {
		return r.Standings()
	}
	return nil
}

// Sent counts the bytes that the host sent to its peers in the exchange.
func (e *Entry) Sent() mustardramp.Bytes {
	var n mustardramp.Bytes
	for _, u := range e.exchange.Usage() {
		n += u.Sent
	}
	return n
}

// Hosts counts the other hosts that this one knows.
func (e *Entry) Hosts() int {
	return e.links.count()
}

func anyUsable(standings []mustardramp.Standing) bool {
	for _, s := range standings {
		if s.Usable() {
			return true
		}
	}
	return false
}
