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

// ControlConfig are the settings of a control host, checked.
type ControlConfig struct {
	Common
	// Data is the folder of the durable state.
	Data string
	// Size, when it is above 0, is the number of control hosts that hold the
	// contracts. They find each other by Seeds, and Control is empty; ledgers
	// for keyed routes are not kept then.
	Size int
	// First is true at the first start of a fleet with a Size.
	First bool
	// Lease is how long a backend counts as present after an announcement that
	// this host took in; zero stands for roster.DefaultLease.
	Lease time.Duration
}

// Control is the process of a control host. NewControl makes one.
type Control struct {
	config      ControlConfig
	clock       mustardramp.Clock
	incarnation mustardramp.Incarnation
	secrets     secrets
	state       registry.State
	desk        registry.Desk
	roster      roster.Table
	// formed is set once the group of the contracts had its size.
	formed   atomic.Bool
	server   link.Server
	links    links
	exchange *exchange.Exchange
	// groups are the ones that this host is in; the contracts' is the first.
	groups    []*group
	ledgers   []*ledger.Desk
	drained   chan struct{}
	drainOnce sync.Once

	linkListener, adminListener net.Listener
	// surfaces are what Open added.
	surfaces []*surface
}

// controlRate bounds the bytes a second that a control host sends to the fleet:
// a table of 2 KiB on the wire to each of 64 hosts, at the one change in four
// seconds of docs/CAPACITY.md, and as much again.
const controlRate mustardramp.Bytes = 64 << 10

// NewControl opens the host's listeners.
func NewControl(config ControlConfig) (*Control, error) {
	c := &Control{
		config:      config,
		clock:       config.clock(),
		incarnation: config.incarnation(),
		drained:     make(chan struct{}),
	}
	var err error
	if c.secrets, err = config.secrets(Files{}); err != nil {
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

func (c *Control) assemble() error {
	c.server.TLS = c.secrets.linkServer
	c.links.tls = c.secrets.linkClient
	c.state.Watch(c.spread)
	c.state.WatchLeavings(c.spreadLeavings)
	if c.config.Size > 0 {
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
	c.desk = registry.Desk{State: &c.state, Log: log, Homes: placement.Regions(c.config.Control), Copied: c.copied}
	c.desk.Serve(&c.server.Router)
	c.exchange = exchange.New(&c.server.Router, exchange.Options{
		Self:  c.config.self(membership.Control, c.Link(), c.Admin(), c.incarnation),
		Seeds: c.config.seeds(),
		TLS:   c.secrets.linkClient,
		Rate:  controlRate,
		Log:   log,
		Clock: c.config.Clock,
	})
	c.roster.Pass = c.exchange.Offer
	c.spread(c.state.InForce())
	c.spreadLeavings(c.state.Leavings())
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
	g, err := c.openGroup(p, state, nil)
	if err != nil {
		return err
	}
	c.groups = append(c.groups, g)
	desk := &ledger.Desk{Region: p.Region, Member: c.config.Name, State: state, Log: g.log, Clock: c.config.Clock}
	desk.Serve(&c.server.Router)
	c.ledgers = append(c.ledgers, desk)
	return nil
}

// resetState empties the state of the contracts before its log is applied anew.
func (c *Control) resetState() error {
	return emptyState(&c.state)
}

func emptyState(s *registry.State) error {
	empty, err := (&registry.State{}).Snapshot()
	if err != nil {
		return err
	}
	return s.Restore(empty)
}

// spread passes accepted entries on to all hosts, those of one change at once.
// What the log's snapshot restores is passed on once the exchange exists.
func (c *Control) spread(entries []registry.Entry) {
	if c.exchange == nil {
		return
	}
	records := make([]mustardramp.Record, 0, len(entries))
	for _, e := range entries {
		record, err := e.Record()
		if err != nil {
			klog.ErrorS(err, "change-not-spread", "service", e.Service, "revision", e.Revision)
			continue
		}
		records = append(records, record)
	}
	c.exchange.OfferAll(records)
}

// changeCopies is the number of entry hosts that hold a change before its
// publisher is answered.
const changeCopies = 2

// copied waits until some entry hosts hold the entries. A fleet with fewer
// entry hosts waits for those that it has.
func (c *Control) copied(ctx context.Context, entries []registry.Entry) error {
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

// Members lists all control hosts.
func (c *Control) Members() []setting.Member {
	return c.config.Control
}

// Link returns the address for the other hosts.
func (c *Control) Link() netip.AddrPort {
	return addressOf(c.linkListener)
}

// Admin returns the address of the administration API.
func (c *Control) Admin() netip.AddrPort {
	return addressOf(c.adminListener)
}

// Run serves until the context ends or the host is drained.
func (c *Control) Run(ctx context.Context) error {
	klog.InfoS("control-started", "host", c.config.Name, "link", c.Link(), "admin", c.Admin())
	ctx, end := context.WithCancel(ctx)
	defer end()
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
		return every(ctx, membersPause, func() { c.links.set(c.exchange.Members()) })
	})
	group.Go(func() error { return every(ctx, expirePause, c.expireLeases) })
	for _, s := range c.surfaces {
		group.Go(func() error { return s.serve(ctx) })
	}
	group.Go(func() error { return serveHTTP(ctx, c.adminListener, c.secrets.admin, c.administration()) })
	group.Go(func() error {
		defer end()
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

// membersPause is the time between two looks at the members.
const membersPause = time.Second

func (c *Control) administration() http.Handler {
	return admin.New(admin.Config{
		Host:      c.config.Name,
		Token:     c.config.AdminToken,
		Clock:     c.clock,
		Contracts: &c.desk,
		Fleet:     &controlView{c},
		Dial:      dialAdmin(c.config.AdminTLS),
	})
}
