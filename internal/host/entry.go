package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/admin"
	"github.com/mustardramp/mustardramp/internal/announcement"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/refusal"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/internal/roster"
	remote "github.com/mustardramp/mustardramp/pkg/admin"
)

const (
	// stepPause is the time between two decisions on the backends' standings.
	stepPause = 100 * time.Millisecond
	// confirmPause is the time between two questions for the contracts in
	// force at a control host.
	confirmPause = time.Second
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

// Entry is the process of an entry host.
type Entry struct {
	config    EntryConfig
	clock     mustardramp.Clock
	contracts Contracts
	services  services
	roster    roster.Table
	refusals  refusal.Memory
	handler   *entry.Handler

	// The listeners are open from NewEntry on, so that their addresses are
	// known.
	traffic, announce, admin net.Listener
}

// NewEntry opens the host's listeners.
func NewEntry(config EntryConfig) (*Entry, error) {
	e := &Entry{config: config, clock: config.clock()}
	e.services = services{host: config.Name, place: config.Place, clock: e.clock}
	e.contracts.Remote = &registry.Remote{Hosts: callers(config.Control, config.Name)}
	e.contracts.Changed = e.services.apply
	e.refusals.Limit = config.RefusalBytes
	e.handler = entry.New(entry.Config{
		Host:         config.Name,
		Incarnation:  config.incarnation(),
		Contracts:    e.contracts.Set,
		Services:     &e.services,
		Clock:        e.clock,
		Refusals:     &e.refusals,
		CallerHeader: config.CallerHeader,
	})
	return e, e.open()
}

func (e *Entry) open() error {
	var err error
	if e.traffic, err = listen(e.config.Listen); err != nil {
		return err
	}
	if e.announce, err = listen(e.config.Announce); err != nil {
		return err
	}
	e.admin, err = listen(e.config.Admin)
	return err
}

// Traffic returns the address for callers.
func (e *Entry) Traffic() netip.AddrPort {
	return addressOf(e.traffic)
}

// Announce returns the address for backends' announcements.
func (e *Entry) Announce() netip.AddrPort {
	return addressOf(e.announce)
}

// Admin returns the address of the administration API.
func (e *Entry) Admin() netip.AddrPort {
	return addressOf(e.admin)
}

// Contracts returns the contracts that the host holds.
func (e *Entry) Contracts() *Contracts {
	return &e.contracts
}

// Serving counts the services with a usable backend.
func (e *Entry) Serving() int {
	n := 0
	for _, c := range e.contracts.Set().Contracts() {
		if r := e.services.running(c.Service); r != nil && anyUsable(r.Standings()) {
			n++
		}
	}
	return n
}

func anyUsable(standings []mustardramp.Standing) bool {
	for _, s := range standings {
		if s.Usable() {
			return true
		}
	}
	return false
}

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	klog.InfoS("entry-started", "host", e.config.Name, "traffic", e.Traffic(), "announce", e.Announce(), "admin", e.Admin())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.follow(ctx) })
	group.Go(func() error { return e.step(ctx) })
	group.Go(func() error { return serveHTTP(ctx, e.announce, e.announcements()) })
	group.Go(func() error { return serveHTTP(ctx, e.admin, e.administration()) })
	group.Go(func() error { return serveHTTP(ctx, e.traffic, e.handler) })
	return group.Wait()
}

func (e *Entry) announcements() *announcement.Handler {
	return announcement.New(announcement.Config{
		Roster:    &e.roster,
		Contracts: e.contracts.Set,
		Clock:     e.clock,
		Tokens:    []string{e.config.AnnounceToken},
	})
}

func (e *Entry) administration() http.Handler {
	return admin.New(admin.Config{
		Host:      e.config.Name,
		Token:     e.config.AdminToken,
		Clock:     e.clock,
		Contracts: &e.contracts,
		Refusals:  &e.refusals,
		Dial:      dialAdmin,
	})
}

func dialAdmin(address string) (*remote.Client, error) {
	return remote.Dial(remote.Target{Address: address})
}

// follow asks the control hosts for the contracts in force.
func (e *Entry) follow(ctx context.Context) error {
	return every(ctx, confirmPause, func() {
		entries, err := e.contracts.Remote.Confirmed(ctx)
		if err != nil {
			klog.V(1).InfoS("control-silent", "cause", err)
			return
		}
		for _, entry := range entries {
			if record, err := entry.Record(); err == nil {
				e.contracts.Merge(record)
			}
		}
	})
}

// step decides the standings of all backends again and again.
func (e *Entry) step(ctx context.Context) error {
	return every(ctx, stepPause, func() {
		for _, c := range e.contracts.Set().Contracts() {
			r := e.services.running(c.Service)
			if r == nil {
				continue
			}
			var standings []mustardramp.Standing
			for _, b := range e.roster.View(c.Service) {
				standings = append(standings, mustardramp.Standing{Backend: b, Weight: 1})
			}
			r.update(standings)
		}
	})
}

// every calls fn again and again until the context ends.
func every(ctx context.Context, pause time.Duration, fn func()) error {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
