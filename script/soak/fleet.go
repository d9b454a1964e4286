package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/announce"
)

const (
	adminToken    = "0123456789abcdef"
	announceToken = "fedcba9876543210"
	// stopDelay is the time for which a stopping entry host still accepts.
	stopDelay = 500 * time.Millisecond
	slots     = 6
)

var places = []string{"kol-a/kolkata", "kol-b/kolkata", "sil-a/siliguri", "sil-b/siliguri"}

// process is one host. The soak ends no other process than those it started.
type process struct {
	name string
	args []string
	// data is the folder of a control host.
	data string
	// addresses by use: "link", "admin", and of entry hosts "traffic" and
	// "announce".
	addresses map[string]string
	// door is where callers reach an entry host.
	door *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet is the processes, the backends and the proxies before both.
type fleet struct {
	settings *settings
	controls []*process
	entries  []*process
	backends []*backend
	group    errgroup.Group
	stop     context.CancelFunc
	ctx      context.Context
	closed   sync.Once
	// drawn counts the ports of the hosts.
	drawn int
}

func newFleet(s *settings, folder string) (*fleet, error) {
	f := &fleet{settings: s}
	f.ctx, f.stop = context.WithCancel(context.Background())
	var members, seeds []string
	for i := range s.Controls {
		p := f.process("control", i, "link", "admin")
		p.data = filepath.Join(folder, p.name)
		members = append(members, fmt.Sprintf("%s=%s/%s", p.name, p.addresses["link"], places[i%len(places)]))
		f.controls = append(f.controls, p)
	}
	for i := range s.Entries {
		p := f.process("entry", i, "link", "admin", "traffic", "announce")
		seeds = append(seeds, p.addresses["link"])
		f.entries = append(f.entries, p)
	}
	for i, p := range f.controls {
		p.args = append([]string{"control", "serve", "--data", p.data}, p.common(i, members)...)
	}
	for i, p := range f.entries {
		p.args = append([]string{
			"entry", "serve", "--seeds", strings.Join(seeds, ","), "--listen", p.addresses["traffic"],
			"--announce-listen", p.addresses["announce"], "--announce-token", announceToken,
			"--stop-delay", stopDelay.String(),
		}, p.common(i, members)...)
		var err error
		if p.door, err = newProxy(f, p.addresses["traffic"]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) process(role string, i int, uses ...string) *process {
	p := &process{name: fmt.Sprintf("%s-%d", role, i+1), addresses: map[string]string{}}
	for _, use := range uses {
		p.addresses[use] = f.port()
	}
	return p
}

func (p *process) common(i int, members []string) []string {
	zone, region, _ := strings.Cut(places[i%len(places)], "/")
	args := []string{
		"--name", p.name, "--zone", zone, "--region", region, "--link", p.addresses["link"],
		"--admin-listen", p.addresses["admin"], "--admin-token", adminToken,
	}
	for _, m := range members {
		args = append(args, "--control", m)
	}
	return args
}

// firstPort is the first port of a host, below those that the system gives out.
const firstPort = 20000

// port draws a port on a loopback address of this soak's own: a port that the
// system gave out and that was closed again may be taken by another connection
// before, or while, its process listens.
func (f *fleet) port() string {
	f.drawn++
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+id>>8&0x7f, id&0xff, firstPort+f.drawn)
}

// start starts all processes and backends, and waits until all serve.
func (f *fleet) start(ctx context.Context) error {
	for _, p := range slices.Concat(f.controls, f.entries) {
		if err := p.start(f.settings); err != nil {
			return err
		}
	}
	for _, service := range services {
		for range f.settings.Backends {
			b, err := newBackend(f, service)
			if err != nil {
				return err
			}
			f.backends = append(f.backends, b)
		}
	}
	if err := f.publish(ctx, 1); err != nil {
		return err
	}
	return f.awaitService(ctx, startTime)
}

// start starts the process, or starts it again.
func (p *process) start(s *settings) error {
	log, err := os.OpenFile(filepath.Join(s.Logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.Binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	return nil
}

func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(sig)
}

// wait returns when the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
}

// publish puts a revision of the contracts in force: each has the revision's
// number in its deadline, so that it can be read back.
func (f *fleet) publish(ctx context.Context, revision int) error {
	folder, err := os.MkdirTemp("", "mustardramp-contracts-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	for _, service := range services {
		text := fmt.Sprintf(contractText, service, service, revision)
		if err := os.WriteFile(filepath.Join(folder, service+".yaml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	var last error
	for _, p := range f.controls {
		if last = f.command(ctx, nil, p, "contract", "publish", folder, "--why", "soak"); last == nil {
			return nil
		}
	}
	return last
}

// command runs the operator's command against a host.
func (f *fleet) command(ctx context.Context, out *string, p *process, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	args = append(args, "--admin", p.addresses["admin"], "--token", adminToken)
	text, err := exec.CommandContext(ctx, f.settings.Binary, args...).CombinedOutput()
	if out != nil {
		*out = string(text)
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args[:2], " "), err, text)
	}
	return nil
}

// awaitService returns once each entry host serves each service.
func (f *fleet) awaitService(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range f.entries {
		for _, service := range services {
			for {
				err := ping(ctx, p, service)
				if err == nil {
					break
				}
				if time.Now().After(deadline) {
					return fmt.Errorf("recovery: %s does not serve %s after %v: %w", p.name, service, limit, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

func ping(ctx context.Context, p *process, service string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addresses["traffic"]+"/reads/ping", http.NoBody)
	if err != nil {
		return err
	}
	r.Host = service + ".example"
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// checkConfiguration reads the contracts back from each host: none may be older
// than the newest that was acknowledged.
func (f *fleet) checkConfiguration(ctx context.Context, book *ledger) error {
	var all error
	for _, p := range slices.Concat(f.controls, f.entries) {
		var text string
		if err := f.command(ctx, &text, p, "contract", "show", services[0]); err != nil {
			all = errors.Join(all, fmt.Errorf("configuration: %s: %w", p.name, err))
			continue
		}
		if got, want := revisionOf(text), book.acknowledged(); got < want {
			all = errors.Join(all, fmt.Errorf("configuration: %s holds revision %d, and %d was acknowledged", p.name, got, want))
		}
	}
	return all
}

// close ends what the soak started.
func (f *fleet) close() {
	f.closed.Do(func() {
		f.stop()
		for _, p := range slices.Concat(f.entries, f.controls) {
			_ = p.signal(syscall.SIGCONT)
			_ = p.signal(syscall.SIGKILL)
			p.wait()
		}
		_ = f.group.Wait()
	})
}

// announcer tells the entry hosts of a backend until the fleet closes.
func (f *fleet) announcer(service, address string) *announce.Client {
	c := &announce.Client{Token: announceToken, Lease: 4 * time.Second, About: announce.Announcement{
		Service: mustardramp.ServiceName(service), Address: netip.MustParseAddrPort(address), Zone: "kol-a", Region: "kolkata",
		Slots: slots, Connections: 400, Incarnation: mustardramp.Incarnation(time.Now().UnixMilli()),
	}}
	for _, p := range f.entries {
		c.Hosts = append(c.Hosts, "http://"+p.addresses["announce"])
	}
	return c
}
