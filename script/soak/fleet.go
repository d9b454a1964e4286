package main

import (
	"context"
	"errors"
	"fmt"
	"net"
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
	// stopDelay is the time for which a stopping entry host still accepts
	// connections.
	stopDelay = 500 * time.Millisecond
	// slots is the number of slots of each backend.
	slots = 6
)

var places = []string{"kol-a/kolkata", "kol-b/kolkata", "sil-a/siliguri", "sil-b/siliguri"}

// process is a host that runs as a process of its own. The soak sends signals
// only to processes that it started, by their own ids.
type process struct {
	name string
	args []string
	// env holds further variables of the environment.
	env []string
	// data is the data folder of a control host.
	data string
	// addresses holds the listen addresses by listener: "link" and "admin", and on
	// entry hosts also "traffic" and "announce".
	addresses map[string]string
	// proxy is the proxy through which callers reach an entry host.
	proxy *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet holds the processes and the backends, with the proxies in front of them.
type fleet struct {
	settings  *settings
	controls  []*process
	entries   []*process
	backends  []*backend
	group     errgroup.Group
	stop      context.CancelFunc
	ctx       context.Context
	closeOnce sync.Once
	// header is part of the requests that the soak sends on its own account.
	header http.Header
	// workspaces is set if the hosts run with routing tables and workspaces.
	workspaces *workspaceSoak
	// portCount counts the ports that newAddress has assigned.
	portCount int
}

func newFleet(s *settings, folder string) (*fleet, error) {
	f := &fleet{settings: s, header: http.Header{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	var members, seeds []string
	for i := range s.Controls {
		p := f.newProcess("control", i, "link", "admin")
		p.data = filepath.Join(folder, p.name)
		members = append(members, fmt.Sprintf("%s=%s/%s", p.name, p.addresses["link"], places[i%len(places)]))
		f.controls = append(f.controls, p)
	}
	for i := range s.Entries {
		p := f.newProcess("entry", i, "link", "admin", "traffic", "announce")
		seeds = append(seeds, p.addresses["link"])
		f.entries = append(f.entries, p)
	}
	for i, p := range f.controls {
		p.args = append([]string{"control", "serve", "--data", p.data}, p.commonArgs(i, members)...)
	}
	for i, p := range f.entries {
		p.args = append([]string{
			"entry", "serve", "--seeds", strings.Join(seeds, ","), "--listen", p.addresses["traffic"],
			"--announce-listen", p.addresses["announce"], "--announce-token", announceToken,
			"--stop-delay", stopDelay.String(),
		}, p.commonArgs(i, members)...)
		var err error
		if p.proxy, err = newProxy(f, p.addresses["traffic"]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func hostName(role string, i int) string { return fmt.Sprintf("%s-%d", role, i+1) }

func (f *fleet) newProcess(role string, i int, listeners ...string) *process {
	p := &process{name: hostName(role, i), addresses: map[string]string{}}
	for _, listener := range listeners {
		p.addresses[listener] = f.newAddress()
	}
	return p
}

// commonArgs returns the arguments that control and entry hosts share.
func (p *process) commonArgs(i int, members []string) []string {
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

// basePort is the port below those of the hosts, which lie below the ephemeral
// ports of the system.
const basePort = 20000

// newAddress returns a new port on a loopback address that only this soak uses.
// A port that the system assigned and that was closed again could be taken by
// another connection before its process listens, or while it does.
func (f *fleet) newAddress() string {
	f.portCount++
	return fmt.Sprintf("%s:%d", soakIP(0), basePort+f.portCount)
}

// soakIP returns a loopback address that only this soak uses.
func soakIP(i int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id>>8&0x7f, id&0xff, 1+i)
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
	// The call of the platform fails until the control hosts have a quorum.
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(100 * time.Millisecond) {
		err := f.publish(ctx, 1)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return err
		}
	}
	return f.awaitService(ctx, startTimeout)
}

// start starts the process, for the first time or again. Its output is appended
// to the log of the process.
func (p *process) start(s *settings) error {
	log, err := os.OpenFile(filepath.Join(s.Logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.Binary, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	return nil
}

// awaitListening waits until an entry host accepts connections of callers. Otherwise a
// fault that follows at once could stop the process before the upload to it begins.
func (p *process) awaitListening() error {
	address := p.addresses["traffic"]
	if p.proxy == nil {
		return nil
	}
	for deadline := time.Now().Add(recoveryTimeout); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("recovery: %s accepts no connections after %v: %w", p.name, recoveryTimeout, err)
		}
	}
}

func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(sig)
}

// wait waits until the process has ended.
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

// publish puts a revision of the contracts in force. The number of the revision
// is a deadline in each contract, so that it can be read back.
func (f *fleet) publish(ctx context.Context, revision int) error {
	if f.workspaces != nil {
		return f.workspaces.publish(revision)
	}
	folder, err := os.MkdirTemp("", "mustardramp-contracts-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	for _, service := range services {
		text := fmt.Sprintf(contractFormat, service, service, revision)
		if err := os.WriteFile(filepath.Join(folder, service+".yaml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	var lastErr error
	for _, p := range f.controls {
		if lastErr = f.runCommand(ctx, nil, p, "contract", "publish", folder, "--why", "soak"); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// runCommand runs the operator's command against a host, and stores its output
// in out unless that is nil.
func (f *fleet) runCommand(ctx context.Context, out *string, p *process, args ...string) error {
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

// awaitService waits until each entry host serves each service, and fails if one
// does not within the limit.
func (f *fleet) awaitService(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range f.entries {
		for _, service := range services {
			for {
				err := ping(ctx, p, service, ownRequest, f.header)
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

// ping sends a read with an id to a service through an entry host. It returns an error unless
// the status of the answer is 200.
func ping(ctx context.Context, p *process, service, id string, header http.Header) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addresses["traffic"]+"/reads/"+id, http.NoBody)
	if err != nil {
		return err
	}
	r.Host, r.Header = service+".example", header.Clone()
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

// checkConfiguration reads the contracts back from each host. None may be older
// than the newest acknowledged revision.
func (f *fleet) checkConfiguration(ctx context.Context, rec *recorder) error {
	if f.workspaces != nil {
		return f.workspaces.checkConfiguration(ctx, rec)
	}
	var failures error
	for _, p := range slices.Concat(f.controls, f.entries) {
		var text string
		if err := f.runCommand(ctx, &text, p, "contract", "show", services[0]); err != nil {
			failures = errors.Join(failures, fmt.Errorf("configuration: %s: %w", p.name, err))
			continue
		}
		if got, want := revisionOf(text), rec.acknowledgedRevision(); got < want {
			failures = errors.Join(failures, fmt.Errorf("configuration: %s holds revision %d, and %d was acknowledged", p.name, got, want))
		}
	}
	return failures
}

// close ends all processes, backends and proxies of the fleet.
func (f *fleet) close() {
	f.closeOnce.Do(func() {
		f.stop()
		for _, p := range slices.Concat(f.entries, f.controls) {
			_ = p.signal(syscall.SIGCONT)
			_ = p.signal(syscall.SIGKILL)
			p.wait()
		}
		_ = f.group.Wait()
	})
}

// newAnnouncer returns a client that announces a backend to the entry hosts.
func (f *fleet) newAnnouncer(service, address string) *announce.Client {
	c := &announce.Client{Token: announceToken, Lease: 4 * time.Second, About: announce.Announcement{
		Service: mustardramp.ServiceName(service), Address: netip.MustParseAddrPort(address), Zone: "kol-a", Region: "kolkata",
		Slots: slots, Connections: 400, Incarnation: mustardramp.Incarnation(time.Now().UnixMilli()),
	}}
	for _, p := range f.entries {
		c.Hosts = append(c.Hosts, "http://"+p.addresses["announce"])
	}
	return c
}
