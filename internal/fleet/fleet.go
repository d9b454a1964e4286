// Package fleet runs a whole fleet with stand-in backends in one process, on
// loopback.
package fleet

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/examples"
	"github.com/mustardramp/mustardramp/internal/host"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/internal/setting"
	"github.com/mustardramp/mustardramp/internal/standin"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// The fleet listens on loopback only, so its tokens are fixed.
const (
	AdminToken    = "try-administration"
	AnnounceToken = "try-announcements"
)

const (
	// refusalBytes bounds the memory in which each entry host keeps refusals.
	refusalBytes mustardramp.Bytes = 4 << 20
	// workTime is the time that a stand-in takes to serve a request.
	workTime = 2 * time.Millisecond
	// pollInterval is the time between two attempts to publish the contracts,
	// and between two checks whether the fleet is ready.
	pollInterval = 100 * time.Millisecond
)

// Size is the size of a fleet and the profile that it follows.
type Size struct {
	// Profile names the example deployment whose contracts and places the fleet
	// uses: "sutradhar", the default, or "nordavind".
	Profile string
	// Control and Entry are the numbers of control and entry hosts.
	Control int
	Entry   int
	// Backends is the number of backends of each service.
	Backends int
}

// Fleet is a set of control hosts, entry hosts and stand-in backends.
type Fleet struct {
	Control  []*host.Control
	Entry    []*host.Entry
	Backends []*Backend

	contracts []registry.File
	folder    string
	profile   string
	places    []mustardramp.Place
}

// Backend is a stand-in with its address and announcer.
type Backend struct {
	standin.Backend
	Service   mustardramp.ServiceName
	Address   netip.AddrPort
	Announcer *announce.Client

	listener net.Listener
}

const defaultProfile = "sutradhar"

// placesByProfile holds the places over which the hosts and backends of a
// profile are spread in turn.
var placesByProfile = map[string][]mustardramp.Place{
	"sutradhar": {
		{Zone: "kol-a", Region: "kolkata"},
		{Zone: "sil-a", Region: "siliguri"},
		{Zone: "kol-b", Region: "kolkata"},
		{Zone: "sil-b", Region: "siliguri"},
	},
	"nordavind": {
		{Zone: "rygge-1", Region: "austland"},
		{Zone: "evenes-1", Region: "nordnorge"},
		{Zone: "torp-2", Region: "austland"},
		{Zone: "andoya-2", Region: "nordnorge"},
	},
}

// New opens all listeners of a fleet. The control hosts keep their data in a
// temporary folder, which Close removes.
func New(size Size) (*Fleet, error) {
	if size.Profile == "" {
		size.Profile = defaultProfile
	}
	f := &Fleet{profile: size.Profile, places: placesByProfile[size.Profile]}
	if f.places == nil {
		return nil, fmt.Errorf("unknown profile %q", size.Profile)
	}
	folder, err := os.MkdirTemp("", "mustardramp-try-")
	if err != nil {
		return nil, err
	}
	f.folder = folder
	if err := f.openControl(size.Control); err != nil {
		return nil, err
	}
	if err := f.openEntry(size.Entry); err != nil {
		return nil, err
	}
	return f, f.openBackends(size.Backends)
}

// Close removes the fleet's data from disk.
func (f *Fleet) Close() error {
	return os.RemoveAll(f.folder)
}

// openControl creates the control hosts. It reserves all link addresses first,
// because the configuration of each control host lists those of all.
func (f *Fleet) openControl(n int) error {
	members := make([]setting.Member, n)
	for i := range members {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		members[i] = setting.Member{
			Name:    mustardramp.HostName(fmt.Sprintf("control-%d", i+1)),
			Address: address,
			Place:   f.places[i%len(f.places)],
		}
	}
	for _, m := range members {
		c, err := host.NewControl(host.ControlConfig{
			Common: host.Common{
				Name: m.Name, Place: m.Place, Link: m.Address, Admin: loopback(),
				AdminToken: AdminToken, Control: members,
			},
			Data: filepath.Join(f.folder, string(m.Name)),
		})
		if err != nil {
			return err
		}
		f.Control = append(f.Control, c)
	}
	return nil
}

func (f *Fleet) members() []setting.Member {
	return f.Control[0].Members()
}

func (f *Fleet) openEntry(n int) error {
	for i := range n {
		e, err := host.NewEntry(host.EntryConfig{
			Common: host.Common{
				Name:  mustardramp.HostName(fmt.Sprintf("entry-%d", i+1)),
				Place: f.places[i%len(f.places)], Link: loopback(), Admin: loopback(),
				AdminToken: AdminToken, Control: f.members(),
			},
			Listen: loopback(), Announce: loopback(), AnnounceToken: AnnounceToken,
			CallerHeader: "X-Caller",
			RefusalBytes: refusalBytes,
		})
		if err != nil {
			return err
		}
		f.Entry = append(f.Entry, e)
	}
	return nil
}

func (f *Fleet) openBackends(perService int) error {
	contracts, err := exampleContracts(f.profile)
	if err != nil {
		return err
	}
	for _, c := range contracts {
		f.contracts = append(f.contracts, registry.File{Name: string(c.Service) + ".yaml", Source: c.Source})
		for i := range perService {
			b, err := f.openBackend(c, i)
			if err != nil {
				return err
			}
			f.Backends = append(f.Backends, b)
		}
	}
	return nil
}

func (f *Fleet) openBackend(c *contract.Contract, i int) (*Backend, error) {
	listener, err := net.Listen("tcp", loopback().String())
	if err != nil {
		return nil, err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	place := f.places[i%len(f.places)]
	b := &Backend{Service: c.Service, Address: address, listener: listener}
	b.Name = fmt.Sprintf("%s-%d", c.Service, i+1)
	b.Slots = int(c.Slots)
	b.Work = workTime
	b.Announcer = &announce.Client{
		Token: AnnounceToken,
		About: announce.Announcement{
			Service: c.Service, Address: address, Zone: place.Zone, Region: place.Region,
			Slots: c.Slots, Connections: c.Connections,
			Incarnation: mustardramp.Incarnation(time.Now().UnixMilli()),
		},
	}
	for _, e := range f.Entry {
		b.Announcer.Hosts = append(b.Announcer.Hosts, "http://"+e.AnnounceAddress().String())
	}
	return b, nil
}

func exampleContracts(profile string) ([]*contract.Contract, error) {
	var out []*contract.Contract
	err := fs.WalkDir(examples.Contracts, profile, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		source, err := fs.ReadFile(examples.Contracts, name)
		if err != nil {
			return err
		}
		c, err := contract.Parse(path.Base(name), source)
		out = append(out, c)
		return err
	})
	return out, err
}

// Run runs the fleet until ctx ends, then waits for the requests in flight. The
// end of requestCtx aborts those requests.
func (f *Fleet) Run(ctx, requestCtx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, c := range f.Control {
		group.Go(func() error { return c.Run(ctx) })
	}
	for _, e := range f.Entry {
		group.Go(func() error { return e.Run(ctx, requestCtx) })
	}
	for _, b := range f.Backends {
		group.Go(func() error { return b.serve(ctx) })
		group.Go(func() error { return b.announce(ctx) })
	}
	return group.Wait()
}

func (b *Backend) serve(ctx context.Context) error {
	server := &http.Server{Handler: b}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		if err := server.Serve(b.listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return group.Wait()
}

// announce announces the backend until the context ends.
func (b *Backend) announce(ctx context.Context) error {
	_ = b.Announcer.Serve(ctx)
	if err := b.Announcer.Run(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// Publish puts the example contracts in force. It retries until a control host
// accepts them or the context ends.
func (f *Fleet) Publish(ctx context.Context) (registry.Result, error) {
	command := registry.Command{
		Change: mustardramp.ChangeID(uuid.NewString()),
		Who:    "fleet try",
		Why:    "example contracts",
		At:     time.Now(),
		Files:  f.contracts,
	}
	for {
		result, err := f.Entry[0].Contracts().Publish(ctx, command)
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return registry.Result{}, err
		case <-time.After(pollInterval):
		}
	}
}

// Ready waits until every entry host can serve every service and knows all
// other hosts.
func (f *Fleet) Ready(ctx context.Context) error {
	others := len(f.Control) + len(f.Entry) - 1
	for {
		ready := true
		for _, e := range f.Entry {
			ready = ready && e.ServingServiceCount() == len(f.contracts) && e.PeerCount() == others
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// loopback returns a loopback address on which the system chooses the port.
func loopback() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback().String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
