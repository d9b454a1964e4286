package host

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/admin"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/internal/setting"
)

// ControlConfig are the settings of a control host, checked.
type ControlConfig struct {
	Common
	// Data is the folder of the durable state.
	Data string
}

// Control is the process of a control host.
type Control struct {
	config ControlConfig
	clock  mustardramp.Clock
	state  registry.State
	desk   registry.Desk
	server link.Server

	link, admin net.Listener
}

// NewControl opens the host's listeners.
func NewControl(config ControlConfig) (*Control, error) {
	c := &Control{config: config, clock: config.clock()}
	c.desk = registry.Desk{State: &c.state, Log: &solo{machine: &c.state}}
	c.desk.Serve(&c.server.Router)
	var err error
	if c.link, err = listen(config.Link); err != nil {
		return nil, err
	}
	c.admin, err = listen(config.Admin)
	return c, err
}

// Link returns the address for the other hosts.
func (c *Control) Link() netip.AddrPort {
	return addressOf(c.link)
}

// Admin returns the address of the administration API.
func (c *Control) Admin() netip.AddrPort {
	return addressOf(c.admin)
}

// Members lists all control hosts.
func (c *Control) Members() []setting.Member {
	return c.config.Control
}

// Run serves until the context ends.
func (c *Control) Run(ctx context.Context) error {
	klog.InfoS("control-started", "host", c.config.Name, "link", c.Link(), "admin", c.Admin())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.server.Serve(ctx, c.link) })
	group.Go(func() error {
		return serveHTTP(ctx, c.admin, admin.New(admin.Config{
			Host:      c.config.Name,
			Token:     c.config.AdminToken,
			Clock:     c.clock,
			Contracts: &c.desk,
			Dial:      dialAdmin,
		}))
	})
	return group.Wait()
}

// solo is the log of a group of one member, in memory.
type solo struct {
	mu      sync.Mutex
	machine mustardramp.Machine
	index   mustardramp.Index
}

// Propose implements mustardramp.Log.
func (s *solo) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, command), nil
}

// Confirm implements mustardramp.Log.
func (s *solo) Confirm(context.Context) error {
	return nil
}
