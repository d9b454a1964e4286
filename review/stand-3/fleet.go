package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// readyLimit is the time in which a started fleet has to be ready.
	readyLimit = 30 * time.Second
	// callLimit is the time of one call to a host.
	callLimit = time.Second
	// portCount is the number of free ports that each host needs side by side.
	portCount = 20
)

// zoneNames are the zones of the fleet, all of one region.
var zoneNames = []string{"north-1", "north-2", "north-3"}

// node is one host of the fleet: a process of the program under review.
type node struct {
	name, role, zone, address string
	serve, ready              string
	file, logPath             string
	command                   *exec.Cmd
	log                       *os.File
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	folder  string
	program string
	port    int
	// controls are the control hosts, the spares at the end.
	controls []*node
	spares   int
	entries  []*node
	client   *http.Client
}

// newFleet prepares a deployment of control hosts and entry hosts without starting it.
func newFleet(controls, entries int) (*fleet, error) {
	return newFleetWithSpares(controls, 0, entries)
}

// newFleetWithSpares is newFleet with control hosts that do not start with the others.
func newFleetWithSpares(running, spares, entries int) (*fleet, error) {
	controls := running + spares
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/mustardramp")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, program: program, spares: spares, client: &http.Client{Timeout: callLimit}}
	var addresses []string
	base := 16 + os.Getpid()%200
	for i := range controls + entries {
		addresses = append(addresses, fmt.Sprintf("127.%d.0.%d", base, i+1))
	}
	if f.port, err = freePorts(addresses); err != nil {
		return nil, err
	}
	for i := range controls {
		n := &node{name: fmt.Sprintf("core-%d", i+1), role: "control", zone: zoneNames[i%len(zoneNames)], address: addresses[i]}
		n.serve = fmt.Sprintf("%s:%d", n.address, f.port+16)
		f.controls = append(f.controls, n)
	}
	for i := range entries {
		n := &node{name: fmt.Sprintf("front-%d", i+1), role: "entry", zone: zoneNames[i%len(zoneNames)], address: addresses[controls+i]}
		n.serve = fmt.Sprintf("%s:%d", n.address, f.port+17)
		n.ready = fmt.Sprintf("%s:%d", n.address, f.port+18)
		f.entries = append(f.entries, n)
	}
	return f, nil
}

// freePorts returns the first of portCount ports that are free at all addresses.
func freePorts(addresses []string) (int, error) {
	for base := 21000 + os.Getpid()%97*portCount; base < 32000; base += portCount {
		if arePortsFree(addresses, base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func arePortsFree(addresses []string, base int) bool {
	for _, address := range addresses {
		for port := base; port < base+portCount; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of a host.
func (f *fleet) writeSettings(n *node, bootstrap bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "[self]\n%s = %q\nipAddress = %q\nzone = %q\nregion = \"north\"\nbootstrap = %t\n", named("node"), n.name, n.address, n.zone, bootstrap)
	if n.role == "control" {
		fmt.Fprintf(&b, "dataDirectory = %q\n", filepath.Join(f.folder, n.name))
	}
	b.WriteString("[self.limits]\ncpuShare = 1.0\ncpuCores = 1\nmemoryMb = 284\nmaxFileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 256\n")
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", c.serve))
	}
	fmt.Fprintf(&b, "[network]\ninternalPortRange = [%d,%d]\n%s = [%s]\n[network.listenAddresses]\n", f.port, f.port+15, named("seeds"), strings.Join(seeds, ","))
	if n.role == "control" {
		fmt.Fprintf(&b, "control = %q\n", n.serve)
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\n", n.serve, n.ready)
	}
	b.WriteString("[network.zones]\n")
	for _, zone := range zoneNames {
		fmt.Fprintf(&b, "%s = \"north\"\n", zone)
	}
	b.WriteString("[platform]\ndiscovery = \"registration\"\nentry = \"virtual_ip\"\nheartbeatInterval = \"1500ms\"\nconfigurationMode = \"highest\"\n")
	fmt.Fprintf(&b, "[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\"]\n[terms.faultTolerance]\nmachines = %d\nzones = 0\nregions = 0\n", (len(f.controls)-f.spares-1)/2)
	b.WriteString("[terms.bounds]\nseedLag = \"3s\"\naddressReuse = \"2s\"\ncontactWindow = \"3000ms\"\nackTimeout = \"4000ms\"\ncatchUp = \"4s\"\ndrainPeriod = \"2000ms\"\n" +
		"gracePeriod = \"6s\"\nlossSlack = \"200ms\"\nconfigApply = \"2000ms\"\nrollbackSlack = \"250ms\"\nmaxStretch = \"5000ms\"\nretryBudgetRatio = 0.2\nbudgetWindow = \"10s\"\n" +
		"retryBudgetSlack = 58\nrecovery = \"15s\"\nprobesPerS = 3\nfloorShare = 0.7\n")
	n.file = filepath.Join(f.folder, n.name+".toml")
	return os.WriteFile(n.file, []byte(b.String()), 0o600)
}

// start starts the process of a host.
func (f *fleet) start(n *node, bootstrap bool) error {
	if err := f.writeSettings(n, bootstrap); err != nil {
		return err
	}
	n.logPath = filepath.Join(f.folder, n.name+".log")
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.command = exec.Command(f.program, "platform", n.role)
	n.command.Env = append(os.Environ(), named("settings")+"="+n.file)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.command.Start()
}

// startAll starts all hosts for the first time.
func (f *fleet) startAll() error {
	running := len(f.controls) - f.spares
	for _, n := range append(f.controls[:running:running], f.entries...) {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a host.
func (n *node) signal(s syscall.Signal) error {
	return n.command.Process.Signal(s)
}

// kill ends the process of a host at once and waits for its end.
func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	_ = n.log.Close()
}

// stopAll ends all processes and removes the folder.
func (f *fleet) stopAll() {
	for _, n := range append(f.controls[:len(f.controls):len(f.controls)], f.entries...) {
		n.kill()
	}
	_ = os.RemoveAll(f.folder)
}

// call makes a call of the operator or of a server to one control host.
func (f *fleet) call(control *node, query string, body []byte) (int, []byte, error) {
	response, err := f.client.Post("http://"+control.serve+"/rpc?call="+query, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// order sends a configuration to one control host after the other until one acknowledges
// or refuses it.
func (f *fleet) order(ctx context.Context, body []byte) (int, error) {
	for i := 0; ; i++ {
		status, _, err := f.call(f.controls[i%len(f.controls)], named("replace"), body)
		if err == nil && status < http.StatusInternalServerError {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("no acknowledgement: status %d, %w", status, errors.Join(err, ctx.Err()))
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, n := range f.entries {
		for !f.isReady(n) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", n.name)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

func (f *fleet) isReady(n *node) bool {
	response, err := f.client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settleTime is the time after the start in which a fleet gets to know its servers.
const settleTime = 3 * time.Second

// bring starts the fleet with a configuration and servers and waits until it serves. The
// function that it returns ends the heartbeats of the servers.
func (f *fleet) bring(configuration []byte, servers []*server) (stop func(), err error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	status, err := f.order(ctx, configuration)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the first configuration: status %d, %w", status, err)
	}
	beats, cancelBeats := context.WithCancel(context.Background())
	group, beats := errgroup.WithContext(beats)
	for _, s := range servers {
		group.Go(func() error { return s.beat(beats, f) })
	}
	stop = func() {
		cancelBeats()
		_ = group.Wait()
	}
	if err := f.awaitReady(ctx); err != nil {
		stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return stop, nil
}
