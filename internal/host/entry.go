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
	"github.com/mustardramp/mustardramp/internal/quota"
	"github.com/mustardramp/mustardramp/internal/refusal"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/internal/tally"
)

// ReadyPath is the path at which a load balancer asks an entry host for its
// readiness. It is served at the address for announcements.
const ReadyPath = "/v1/ready"

const (
	// stepInterval is the time between two decisions on the standings of backends.
	stepInterval = 100 * time.Millisecond
)

// EntryConfig holds the checked settings of an entry host.
type EntryConfig struct {
	Common
	Listen netip.AddrPort
	// Announce is the zero AddrPort if backends announce themselves elsewhere.
	Announce      netip.AddrPort
	AnnounceToken string
	CallerHeader  string
	TLS           Files
	RefusalBytes  mustardramp.Bytes
	// LinkRate is the rate of the host's own network link in bytes a second each
	// way. 0 means that the link needs no limit.
	LinkRate mustardramp.Bytes
	// StopDelay is the time from reporting that the host is not ready to closing
	// the listener for traffic.
	StopDelay time.Duration
	// Grace is the time after the signal to stop at which the process is ended from
	// outside. Requests get their final answers before. 0 means that it has no end.
	Grace time.Duration
	// Pipeline is the largest number of requests in progress of one connection. 0 means
	// pipeline.DefaultRequests, 1 means one after the other.
	Pipeline int
	// Headers holds the names of the headers that callers and backends use.
	Headers entry.Headers
	// RetryBudgetRatio and RetryBudgetSlack form the retry budget of the whole fleet
	// for a service of a routing table: further attempts may be the share
	// RetryBudgetRatio of the service's requests, and beyond that RetryBudgetSlack
	// attempts in ten seconds. A ratio of 0 means the table's default.
	RetryBudgetRatio float64
	RetryBudgetSlack int
	// MaxLoadAge is the age up to which stated free slots count in the choice among
	// groups of backends. 0 means the default; a negative value turns the choice by
	// free slots off.
	MaxLoadAge time.Duration
}

// Entry is an entry host: it accepts the requests of callers and sends them to
// backend servers. NewEntry makes one.
type Entry struct {
	config      EntryConfig
	clock       mustardramp.Clock
	incarnation mustardramp.Incarnation
	tlsConfigs  tlsConfigs

	contracts Contracts
	services  services
	roster    roster.Table
	ejector   *ejection.Ejector
	refusals  refusal.Store
	tally     tally.Tally
	ledger    *ledger.Client
	links     links
	network   lease.Network
	quotas    *quota.Pool
	// distances maps each live entry host to its distance. It is replaced as a whole.
	distances atomic.Pointer[map[mustardramp.HostName]mustardramp.Distance]
	server    link.Server
	exchange  *exchange.Exchange
	handler   *entry.Handler
	traffic   *entry.Server
	guards    guards
	// ready is set once the host knows a current configuration and stays set. started is
	// closed then.
	ready   atomic.Bool
	started chan struct{}
	// current is set while a control host has confirmed not long ago that this host
	// holds the newest changes.
	current atomic.Bool
	// drained is closed when an operator drains the host.
	drained   chan struct{}
	drainOnce sync.Once

	// NewEntry opens the listeners, so that their addresses are known before Run.
	trafficListener, announceListener, adminListener, linkListener net.Listener
	// extraServers holds the servers that ServeAt added.
	extraServers []*extraServer
}

// NewEntry opens the listeners of an entry host. Run serves them.
func NewEntry(config EntryConfig) (*Entry, error) {
	e := &Entry{
		config:      config,
		clock:       config.clock(),
		incarnation: config.incarnation(),
		drained:     make(chan struct{}),
		started:     make(chan struct{}),
	}
	config.limitMemory()
	e.guards.init(&config.Common)
	var err error
	if e.tlsConfigs, err = config.loadTLS(config.TLS); err != nil {
		return nil, err
	}
	if err := e.open(); err != nil {
		return nil, err
	}
	e.assemble()
	return e, nil
}

// open opens the listeners that have an address.
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

// TrafficAddress returns the address for requests of callers.
func (e *Entry) TrafficAddress() netip.AddrPort {
	return addressOf(e.trafficListener)
}

// AnnounceAddress returns the address for announcements of backends.
func (e *Entry) AnnounceAddress() netip.AddrPort {
	return addressOf(e.announceListener)
}

// AdminAddress returns the address of the administration API.
func (e *Entry) AdminAddress() netip.AddrPort {
	return addressOf(e.adminListener)
}

// LinkAddress returns the address for links from other hosts.
func (e *Entry) LinkAddress() netip.AddrPort {
	return addressOf(e.linkListener)
}

// Contracts returns the contracts that the host holds.
func (e *Entry) Contracts() *Contracts {
	return &e.contracts
}

// ServingServiceCount returns the number of services that have a usable backend.
func (e *Entry) ServingServiceCount() int {
	if e.currentContracts() == nil {
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

// Standings returns the standings that the host decided for a service's backends.
func (e *Entry) Standings(service mustardramp.ServiceName) []mustardramp.Standing {
	if r := e.services.lookup(service); r != nil {
		return r.Standings()
	}
	return nil
}

// SentBytes returns the number of bytes that the host sent to its peers through
// the exchange.
func (e *Entry) SentBytes() mustardramp.Bytes {
	var n mustardramp.Bytes
	for _, u := range e.exchange.Usage() {
		n += u.Sent
	}
	return n
}

// PeerCount returns the number of other hosts that this host knows.
func (e *Entry) PeerCount() int {
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
