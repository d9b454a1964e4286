package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the fleet, relative to its base port. They are the same on all hosts.
const (
	portInternal = 0
	portControl  = 20
	portFront    = 21
	portReady    = 22
	portBackend  = 30
	portSpan     = 40
)

// formationTime is the time from the start of the hosts to the first configuration,
// and publishLimit the time that the first one may take.
const (
	formationTime = 4 * time.Second
	publishLimit  = 20 * time.Second
)

// placeOf returns the availability zone and the region of the host with a number.
func placeOf(n int) (zone, region string) {
	zones := []string{"rygge-1", "evenes-1", "torp-2", "andoya-2"}
	regions := []string{"austland", "nordnorge", "austland", "nordnorge"}
	return zones[n%len(zones)], regions[n%len(zones)]
}

// host is one host of the fleet with the process that runs on it.
type host struct {
	name     string
	role     string
	ip       string
	zone     string
	region   string
	folder   string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the current process has ended.
	ended chan struct{}
}

// fleet holds the hosts of a small deployment. Each has a loopback address of its
// own.
type fleet struct {
	folder   string
	subnet   string
	port     int
	controls []*host
	entries  []*host
	record   *record
}

// fleets holds the fleets that were not stopped yet.
var fleets sync.Map

// stopFleets ends the processes of all fleets.
func stopFleets() {
	fleets.Range(func(f, _ any) bool {
		f.(*fleet).stop()
		return true
	})
}

// newFleet writes the settings of a deployment at its first start.
func newFleet(record *record, controls, entries int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: record}
	fleets.Store(f, nil)
	if err := f.chooseAddresses(); err != nil {
		return nil, err
	}
	for i := range controls {
		f.controls = append(f.controls, f.newHost("control", i, 1+i))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newHost("entry", i, 20+i))
	}
	for _, h := range f.hosts() {
		if err := f.writeSettings(h, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// chooseAddresses picks a subnet and a range of ports that are free on it.
func (f *fleet) chooseAddresses() error {
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		f.port = 20000 + portSpan*rand.IntN(200)
		if f.portsAreFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (f *fleet) portsAreFree() bool {
	for p := range portSpan {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.subnet, f.port+p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) newHost(role string, i, number int) *host {
	h := &host{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: f.ip(number)}
	h.zone, h.region = placeOf(i)
	h.folder = filepath.Join(f.folder, h.name)
	h.settings = filepath.Join(f.folder, h.name+".toml")
	return h
}

func (f *fleet) ip(number int) string {
	return fmt.Sprintf("%s.%d", f.subnet, number)
}

func (f *fleet) address(h *host, port int) string {
	return fmt.Sprintf("%s:%d", h.ip, f.port+port)
}

func (f *fleet) hosts() []*host {
	return append(append([]*host{}, f.controls...), f.entries...)
}

// nodeFile holds what the settings file of a host says.
type nodeFile struct {
	Name, Role, Class, IP, Zone, Region string
	Counts, Bootstrap                   bool
	Data                                string
	Disk, FirstPort, LastPort           int
	Seeds                               []string
	Control, Front, Ready               string
}

// writeSettings writes the settings file of a host in the format of the platform.
func (f *fleet) writeSettings(h *host, bootstrap bool) error {
	n := nodeFile{
		Name: h.name, Role: h.role, Class: "front", IP: h.ip, Zone: h.zone, Region: h.region, Bootstrap: bootstrap,
		FirstPort: f.port + portInternal, LastPort: f.port + portInternal + 15,
	}
	for _, c := range f.controls[:min(3, len(f.controls))] {
		n.Seeds = append(n.Seeds, f.address(c, portControl))
	}
	if h.role == "control" {
		n.Class, n.Counts, n.Data, n.Disk = "core", true, h.folder, 256
		n.Control = f.address(h, portControl)
		if err := os.MkdirAll(h.folder, 0o755); err != nil {
			return err
		}
	} else {
		n.Front, n.Ready = f.address(h, portFront), f.address(h, portReady)
	}
	return os.WriteFile(h.settings, fill("node.toml", n), 0o644)
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(os.Getenv("REVIEW_ROOT"), "target", "mustardramp"), "platform", h.role)
	cmd.Dir = os.Getenv("REVIEW_ROOT")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, names.NodeFile + "=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.ended = cmd, make(chan struct{})
	group.Go(func() error {
		_ = cmd.Wait()
		close(h.ended)
		return nil
	})
	f.record.add("process-started", "host", h.name, "pid", cmd.Process.Pid)
	return nil
}

// startAll starts all hosts and waits until every entry host is ready or the
// context ends. It publishes nothing, so hosts are ready only after publish.
func (f *fleet) startAll() error {
	for _, h := range f.hosts() {
		if err := f.start(h); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.record.add("signal", "host", h.name, "signal", s)
	_ = h.cmd.Process.Signal(s)
}

// waitEnd waits until the process of a host has ended.
func (f *fleet) waitEnd(h *host) {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	<-ended
	f.record.add("process-ended", "host", h.name)
}

// stop ends all processes of the fleet and removes its folder.
func (f *fleet) stop() {
	fleets.Delete(f)
	for _, h := range f.hosts() {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
		}
		h.mu.Unlock()
	}
	for _, h := range f.hosts() {
		if h.ended != nil {
			<-h.ended
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// isReady asks an entry host for its readiness.
func (f *fleet) isReady(h *host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(h, portReady)+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all entry hosts are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range f.entries {
		for !f.isReady(h) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.add("all-entries-ready")
	return nil
}
