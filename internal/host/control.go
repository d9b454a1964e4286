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
	"github.com/mustardramp/mustardramp/internal/exchange"
	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/placement"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/internal/setting"
)

// ControlConfig holds the checked settings of a control host.
type ControlConfig struct {
	Common
	// Data is the folder that holds the durable state.
	Data string
	// TargetVoters is the number of control hosts that hold the contracts, if it is
	// above 0. They then find each other through Seeds, Control is empty, and no
	// ledgers for keyed routes are kept.
	TargetVoters int
	// IsFirstStart is true at the first start of a fleet that sets TargetVoters.
	IsFirstStart bool
	// Lease is the time for which a backend counts as present after an
	// announcement at this host. It defaults to roster.DefaultLease.
	Lease time.Duration
}

// Control is a control host: it keeps the contracts and the ledgers of its
// groups. NewControl makes one.
type Control struct {
	config      ControlConfig
	clock       mustardramp.Clock
	incarnation mustardramp.Incarnation
	tlsConfigs  tlsConfigs
	state       registry.State
	contracts   registry.Server
	roster      roster.Table
	// formed is set once the contracts group has had all its voters.
	formed   atomic.Bool
	server   link.Server
	links    links
	exchange *exchange.Exchange
	// groups holds the groups that this host is a member of, the contracts group
	// first.
	groups  []*group
	ledgers []*ledger.Server
	// boundLevels holds by name how far each bound was reached at the last report. Only
	// reportBounds uses it.
	boundLevels map[string]boundLevel
	orders      orderBudget
	guards      guards
	// drained is closed when an operator drains the host.
	drained   chan struct{}
	drainOnce sync.Once

	linkListener, adminListener net.Listener
	// extraServers holds the servers that ServeAt added.
	extraServers []*extraServer
}

// controlRate bounds the bytes a second that a control host sends to the fleet.
// It is twice the need of a table of 2 KiB on the wire that goes to each of 64
// hosts at one change in four seconds (docs/CAPACITY.md).
const controlRate mustardramp.Bytes = 64 << 10

// NewControl opens the listeners and the durable state of a control host. Run
// serves it.
func NewControl(config ControlConfig) (*Control, error) {
	c := &Control{
		config:      config,
		clock:       config.clock(),
		incarnation: config.incarnation(),
		drained:     make(chan struct{}),
		orders:      newOrderBudget(config.Memory),
	}
	config.limitMemory()
	c.guards.init(&config.Common)
	var err error
	if c.tlsConfigs, err = config.loadTLS(Files{}); err != nil {
		return nil, err
	}
	if c.linkListener, err = listen(config.Link); err != nil {
		return nil, err
	}
	if c.adminListener, err = listen(config.Admin); err != nil {
		return nil, err
	}
	if err := c.assemble(); err != nil {
		return nil, err
	}
	return c, nil
}

// assemble opens this host's members of its groups and connects the parts of the
// host.
func (c *Control) assemble() error {
	c.server.TLS = c.tlsConfigs.linkServer
	c.links.tls = c.tlsConfigs.linkClient
	c.state.Watch(c.spreadEntries)
	c.state.WatchDepartures(c.spreadDepartures)
	if c.config.TargetVoters > 0 {
		g, err := c.openSeeded(&c.state, c.resetState)
		if err != nil {
			return err
		}
		c.groups = append(c.groups, g)
	}
	for _, p := range placement.Groups(c.config.Control) {
		if !p.Has(c.config.Name) {
			continue
		}
		if err := c.join(p); err != nil {
			return err
		}
	}
	log := c.groups[0].log
	c.contracts = registry.Server{State: &c.state, Log: log, Homes: placement.Regions(c.config.Control), AwaitCopies: c.waitForCopies}
	c.contracts.Serve(&c.server.Router)
	c.exchange = exchange.New(&c.server.Router, exchange.Options{
		Self:  c.config.self(membership.Control, c.LinkAddress(), c.AdminAddress(), c.incarnation),
		Seeds: c.config.seeds(),
		TLS:   c.tlsConfigs.linkClient,
		Rate:  controlRate,
		Log:   log,
		Clock: c.config.Clock,
	})
	c.roster.Send = c.exchange.Offer
	c.spreadEntries(c.state.InForce())
	c.spreadDepartures(c.state.Departures())
	link.Handle(&c.server.Router, methodState, func(context.Context, struct{}) (hostState, error) {
		return hostState{Index: c.index(), Ready: c.exchange.Ready()}, nil
	})
	return nil
}

// join opens this host's member of a group.
func (c *Control) join(p placement.Group) error {
	if p.Region == "" {
		g, err := c.openGroup(p, &c.state, c.resetState)
		c.groups = append(c.groups, g)
		return err
	}
	state := &ledger.State{}
	g, err := c.openGroup(p, state, func() error { return emptyMachine(state, &ledger.State{}) })
	if err != nil {
		return err
	}
	c.groups = append(c.groups, g)
	ledgerServer := &ledger.Server{Region: p.Region, Member: c.config.Name, State: state, Log: g.log, Clock: c.config.Clock}
	ledgerServer.Serve(&c.server.Router)
	c.ledgers = append(c.ledgers, ledgerServer)
	return nil
}

// resetState empties the contracts' state before the log is applied to it again.
func (c *Control) resetState() error {
	return emptyMachine(&c.state, &registry.State{})
}

// emptyMachine restores the snapshot of an empty state machine of the same kind.
func emptyMachine(m, empty mustardramp.StateMachine) error {
	snapshot, err := empty.Snapshot()
	if err != nil {
		return err
	}
	return m.Restore(snapshot)
}

// spreadEntries sends accepted entries to all hosts, the entries of one change
// together. It does nothing before the exchange exists; assemble then sends what
// the log's snapshot restored.
func (c *Control) spreadEntries(entries []registry.Entry) {
	if c.exchange == nil {
		return
	}
	records := make([]mustardramp.Record, 0, len(entries))
	for _, e := range entries {
		record, err := e.Record()
		if err != nil {
			klog.ErrorS(err, "change-encoding-failed", "service", e.Service, "revision", e.Revision)
			continue
		}
		records = append(records, record)
	}
	c.exchange.OfferAll(records)
}

// changeCopies is the number of entry hosts that must hold a change before its
// publisher gets an answer.
const changeCopies = 2

// waitForCopies waits until changeCopies entry hosts hold the entries, or all
// live ones in a fleet that has fewer.
func (c *Control) waitForCopies(ctx context.Context, entries []registry.Entry) error {
	hosts := 0
	for _, m := range c.exchange.Members() {
		if m.Host.Role == membership.Entry && m.Standing <= membership.Suspect {
			hosts++
		}
	}
	for _, e := range entries {
		record, err := e.Record()
		if err != nil {
			return err
		}
		if err := c.exchange.WaitCopies(ctx, record, min(changeCopies, hosts)); err != nil {
			return err
		}
	}
	return nil
}

// index returns the log index of the newest change that this host applied.
func (c *Control) index() mustardramp.Index {
	var newest mustardramp.Index
	for _, e := range c.state.InForce() {
		newest = max(newest, e.Index)
	}
	return newest
}

// Members lists the control hosts that the settings name.
func (c *Control) Members() []setting.Member {
	return c.config.Control
}

// LinkAddress returns the address for links from other hosts.
func (c *Control) LinkAddress() netip.AddrPort {
	return addressOf(c.linkListener)
}

// AdminAddress returns the address of the administration API.
func (c *Control) AdminAddress() netip.AddrPort {
	return addressOf(c.adminListener)
}

// Run serves until the context ends or the host is drained.
func (c *Control) Run(ctx context.Context) error {
	klog.InfoS("control-started", "host", c.config.Name, "link", c.LinkAddress(), "admin", c.AdminAddress())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.server.Serve(ctx, c.linkListener) })
	group.Go(func() error { return c.exchange.Run(ctx) })
	for _, g := range c.groups {
		group.Go(func() error { return g.run(ctx) })
	}
	for _, d := range c.ledgers {
		group.Go(func() error { return d.Run(ctx) })
	}
	c.exchange.Watch(mustardramp.RecordBackend, c.learnBackend)
	group.Go(func() error {
		return every(ctx, membersInterval, func() { c.links.set(c.exchange.Members()) })
	})
	group.Go(func() error { return every(ctx, expireInterval, c.expireLeases) })
	for _, s := range c.extraServers {
		group.Go(func() error { return s.serve(ctx) })
	}
	admin := c.guards.newSide("administration", c.tlsConfigs.admin != nil)
	group.Go(func() error { return serveHTTP(ctx, c.adminListener, c.tlsConfigs.admin, c.adminHandler(), admin) })
	group.Go(func() error { return every(ctx, guardReportInterval, c.guards.report) })
	group.Go(func() error { return every(ctx, boundReportInterval, c.reportBounds) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-c.drained:
			c.exchange.Drain()
		}
		return nil
	})
	err := group.Wait()
	c.links.close()
	return err
}

// membersInterval is the time between two updates of the links from the member
// list.
const membersInterval = time.Second

func (c *Control) adminHandler() http.Handler {
	return admin.New(admin.Config{
		Host:      c.config.Name,
		Token:     c.config.AdminToken,
		Clock:     c.clock,
		Contracts: &c.contracts,
		Fleet:     &controlView{c},
		Dial:      dialAdmin(c.config.AdminTLS),
	})
}
