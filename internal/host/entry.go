package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/admin"
	"github.com/mustardramp/mustardramp/internal/announcement"
	"github.com/mustardramp/mustardramp/internal/ejection"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/exchange"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/refusal"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/internal/tally"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
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
	Listen        netip.AddrPort
	Announce      netip.AddrPort
	AnnounceToken string
	CallerHeader  string
	TLS           Files
	RefusalBytes  mustardramp.Bytes
	// StopDelay is the time from the fall of readiness to the end of
	// accepting.
	StopDelay time.Duration
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
		var err error
		if *l.listener, err = listen(l.address); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) assemble() {
	config := &e.config
	e.links.tls = e.secrets.linkClient
	e.server.TLS = e.secrets.linkServer
	e.refusals.Limit = config.RefusalBytes
	e.tally.Clock = e.clock
	e.services.holder = lease.Holder{Host: config.Name, Incarnation: e.incarnation}
	e.services.place, e.services.clock, e.services.peers = config.Place, e.clock, &e.network
	e.network.Find = e.links.address
	e.network.New = func(address netip.AddrPort) *link.Client {
		return &link.Client{Address: address, TLS: e.secrets.linkClient}
	}
	e.contracts.Remote = &registry.Remote{Hosts: config.callers(e.secrets.linkClient)}
	e.contracts.Changed = e.services.apply
	e.ejector = ejection.New(config.Name, e.incarnation, config.Place)
	e.ejector.Terms = e.terms
	e.ejector.Left = e.left
	e.exchange = exchange.New(&e.server.Router, exchange.Options{
		Self:  config.self(membership.Entry, e.Link(), e.Admin(), e.incarnation),
		Seeds: config.seeds(),
		TLS:   e.secrets.linkClient,
		Clock: config.Clock,
	})
	e.roster.Pass = e.exchange.Offer
	e.roster.Floor = func(s mustardramp.ServiceName) mustardramp.Percent { return e.terms(s).Floor }
	e.ledger = ledger.NewClient(config.Name, e.incarnation, config.ledgerHomes(e.secrets.linkClient))
	e.handler = entry.New(entry.Config{
		Host:         config.Name,
		Incarnation:  e.incarnation,
		Contracts:    e.current,
		Services:     &e.services,
		Ledger:       e.ledger,
		Observer:     e.ejector,
		Watcher:      e.ejector,
		Tally:        &measured{Tally: &e.tally, services: &e.services},
		Clock:        e.clock,
		Refusals:     &e.refusals,
		CallerHeader: config.CallerHeader,
	})
	e.traffic = entry.NewServer(e.handler, config.StopDelay, e.secrets.traffic)
	e.answerHosts()
}

// answerHosts answers the calls of other hosts.
func (e *Entry) answerHosts() {
	lease.Serve(&e.server.Router, func(name mustardramp.ServiceName) *lease.Pool {
		if r := e.services.running(name); r != nil {
			return r.pool
		}
		return nil
	})
	link.Handle(&e.server.Router, methodState, func(context.Context, struct{}) (hostState, error) {
		return hostState{Index: e.contracts.Index(), Ready: e.ready.Load()}, nil
	})
}

// current returns the contracts in force, or nil while the host does not know
// a current configuration.
func (e *Entry) current() *contract.Set {
	if !e.ready.Load() {
		return nil
	}
	return e.contracts.Set()
}

func (e *Entry) terms(service mustardramp.ServiceName) ejection.Terms {
	if c := e.contracts.Set().Service(service); c != nil {
		return ejection.Terms{Floor: c.Floor, Caution: c.Caution}
	}
	return ejection.Terms{Floor: contract.DefaultFloor, Caution: contract.DefaultCaution}
}

// left takes in a backend's own word that it leaves.
func (e *Entry) left(o mustardramp.Observation) {
	if err := e.roster.Leave(e.clock.Now(), o.Backend, o.At.Add(-o.Latency)); err != nil {
		klog.V(1).InfoS("leaving-not-noted", "backend", o.Backend, "cause", err)
	}
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

// Run serves until the context ends or the host is drained, and then until the
// requests in flight have ended. The end of cut ends them at once.
func (e *Entry) Run(ctx, cut context.Context) error {
	klog.InfoS("entry-started", "host", e.config.Name, "traffic", e.Traffic(), "announce", e.Announce(),
		"admin", e.Admin(), "link", e.Link())
	inner, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, inner := errgroup.WithContext(inner)
	e.watch()
	group.Go(func() error { return e.server.Serve(inner, e.linkListener) })
	group.Go(func() error { return e.exchange.Run(inner) })
	group.Go(func() error { return e.ledger.Run(inner) })
	group.Go(func() error { return every(inner, stepPause, e.step) })
	group.Go(func() error { return every(inner, lease.PressureInterval, e.reportPressure) })
	group.Go(func() error { return every(inner, lease.StepInterval, func() { e.services.step(inner) }) })
	group.Go(func() error { return serveHTTP(inner, e.announceListener, nil, e.announcements()) })
	group.Go(func() error { return serveHTTP(inner, e.adminListener, e.secrets.admin, e.administration()) })
	group.Go(func() error { return e.traffic.Serve(e.trafficListener) })
	group.Go(func() error {
		defer end()
		return e.stop(ctx, inner, cut)
	})
	err := group.Wait()
	e.links.close()
	// Peers that stopped first have closed their connections already.
	_ = e.network.Close()
	return err
}

// stop waits for the end and stops the traffic gracefully, while the rest of
// the host goes on.
func (e *Entry) stop(ctx, inner, cut context.Context) error {
	select {
	case <-ctx.Done():
	case <-e.drained:
	case <-inner.Done():
	}
	e.exchange.Drain()
	return e.traffic.Stop(cut)
}

// watch takes in what other hosts spread.
func (e *Entry) watch() {
	e.exchange.Watch(mustardramp.RecordChange, e.contracts.Merge)
	e.exchange.Watch(mustardramp.RecordBackend, func(r mustardramp.Record) {
		if err := e.roster.Merge(e.clock.Now(), r); err != nil {
			klog.ErrorS(err, "backend-record-refused", "key", r.Key)
		}
	})
	e.exchange.Watch(mustardramp.RecordEvidence, func(r mustardramp.Record) {
		if err := e.ejector.Merge(e.clock.Now(), r); err != nil {
			klog.ErrorS(err, "evidence-refused", "key", r.Key)
		}
	})
	e.exchange.Watch(mustardramp.RecordPressure, e.learnPressure)
}

// step takes up the present members and decides the standings of all backends.
func (e *Entry) step() {
	if !e.ready.Load() && e.exchange.Ready() {
		e.ready.Store(true)
	}
	members := e.exchange.Members()
	e.links.set(members)
	e.services.setHosts(e.liveEntryHosts(members))
	now := e.clock.Now()
	if err := e.roster.Expire(now, e.ejector.Work); err != nil {
		klog.ErrorS(err, "roster-not-expired")
	}
	for name, r := range e.services.all() {
		r.update(e.ejector.Step(now, name, e.roster.View(name)))
	}
	e.report()
}

func (e *Entry) liveEntryHosts(members []membership.Member) []lease.Host {
	hosts := []lease.Host{{Name: e.config.Name, Place: e.config.Place}}
	for _, m := range members {
		if m.Host.Role == membership.Entry && m.Standing <= membership.Suspect {
			hosts = append(hosts, lease.Host{Name: m.Host.Name, Place: m.Host.Place})
		}
	}
	return hosts
}

// report spreads this host's evidence when it is due.
func (e *Entry) report() {
	record, due, err := e.ejector.Due(e.clock.Now())
	if err != nil {
		klog.ErrorS(err, "evidence-not-reported")
	}
	if due {
		e.exchange.Offer(record)
	}
}

// reportPressure spreads the lengths of the queues that this host keeps.
func (e *Entry) reportPressure() {
	for name, r := range e.services.all() {
		records, err := r.pool.Pressure()
		if err != nil {
			klog.ErrorS(err, "pressure-not-reported", "service", name)
			continue
		}
		e.exchange.OfferAll(records)
	}
}

// learnPressure takes in the lengths of queues that another host keeps.
func (e *Entry) learnPressure(record mustardramp.Record) {
	pressure, err := lease.DecodePressure(record)
	if err != nil {
		klog.ErrorS(err, "pressure-refused", "key", record.Key)
		return
	}
	r := e.services.running(pressure.Service)
	if r == nil {
		return
	}
	if err := r.pool.Learn(record); err != nil {
		klog.ErrorS(err, "pressure-refused", "key", record.Key)
	}
}

func (e *Entry) announcements() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(announce.Path, announcement.New(announcement.Config{
		Roster:    &e.roster,
		Contracts: e.contracts.Set,
		Clock:     e.clock,
		Tokens:    []string{e.config.AnnounceToken},
	}))
	mux.HandleFunc(ReadyPath, e.traffic.Readiness)
	return mux
}

func (e *Entry) administration() http.Handler {
	return admin.New(admin.Config{
		Host:      e.config.Name,
		Token:     e.config.AdminToken,
		Clock:     e.clock,
		Contracts: &e.contracts,
		Refusals:  &e.refusals,
		Fleet:     &entryView{e},
		Ledger:    ledgerView{e.ledger},
		Dial:      dialAdmin(e.config.AdminTLS),
	})
}
