package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/standin"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"golang.org/x/sync/errgroup"
)

// waitLimit bounds each wait for an event; it is no target for its duration.
const waitLimit = 3 * time.Minute

// buildBinary builds the program once for all tests and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "mustardramp-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "mustardramp")
	out, err := exec.Command("go", "build", "-o", path, "github.com/mustardramp/mustardramp/cmd/mustardramp").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build %s: %w: %s", path, err, out)
	}
	return path, nil
})

// process is a host that runs as a process of its own.
type process struct {
	t    *testing.T
	name string
	args []string
	// traffic, announce, admin and link are its addresses.
	traffic, announce, admin, link string
	cmd                            *exec.Cmd
	log                            bytes.Buffer
}

func (p *process) start() {
	p.t.Helper()
	path, err := buildBinary()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// terminate asks for a graceful stop and returns how the process ended.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.cmd.Wait()
}

// processFleet is a fleet whose hosts are separate processes. Its stand-in
// backends run in the process of the test.
type processFleet struct {
	t        *testing.T
	control  []*process
	entry    []*process
	backends []*standin.Backend
	group    errgroup.Group
	// remoteFlags authenticate the operator's command at a host.
	remoteFlags []string
	// client and scheme are used for the requests of callers.
	client *http.Client
	scheme string
}

// startProcessFleet starts a fleet, which runs until the test ends.
func startProcessFleet(t *testing.T, control, entry int) *processFleet {
	t.Helper()
	f := newProcessFleet(t, control, entry)
	f.startAll()
	return f
}

func (f *processFleet) startAll() {
	for _, p := range append(f.control, f.entry...) {
		p.start()
	}
	f.t.Cleanup(f.stop)
}

// newProcessFleet returns a fleet whose processes have their arguments and are
// not started yet.
func newProcessFleet(t *testing.T, control, entry int) *processFleet {
	f := &processFleet{t: t, remoteFlags: []string{"--token", testToken}, client: http.DefaultClient, scheme: "http"}
	zones := []string{"kol-a/kolkata", "kol-b/kolkata", "sil-a/siliguri"}
	var members []string
	for i := range control {
		p := &process{t: t, name: fmt.Sprintf("control-%d", i+1), link: freeAddress(t), admin: freeAddress(t)}
		f.control = append(f.control, p)
		members = append(members, fmt.Sprintf("%s=%s/%s", p.name, p.link, zones[i%len(zones)]))
	}
	for i, p := range f.control {
		p.args = append([]string{"control", "serve", "--data", t.TempDir()}, p.commonArgs(zones[i%len(zones)], members)...)
	}
	var seeds []string
	for i := range entry {
		p := &process{
			t: t, name: fmt.Sprintf("entry-%d", i+1), link: freeAddress(t), admin: freeAddress(t),
			traffic: freeAddress(t), announce: freeAddress(t),
		}
		f.entry = append(f.entry, p)
		seeds = append(seeds, p.link)
		p.args = append([]string{
			"entry", "serve", "--seeds", strings.Join(seeds, ","), "--listen", p.traffic, "--announce-listen", p.announce,
			"--announce-token", "fedcba9876543210", "--caller-header", "X-Caller", "--stop-delay", "100ms",
		}, p.commonArgs(zones[i%len(zones)], members)...)
	}
	return f
}

// commonArgs returns the arguments that control and entry hosts share.
func (p *process) commonArgs(place string, members []string) []string {
	zone, region, _ := strings.Cut(place, "/")
	args := []string{
		"--name", p.name, "--zone", zone, "--region", region,
		"--link", p.link, "--admin-listen", p.admin, "--admin-token", testToken,
	}
	for _, m := range members {
		args = append(args, "--control", m)
	}
	return args
}

const testToken = "0123456789abcdef"

func (f *processFleet) stop() {
	for _, p := range append(f.control, f.entry...) {
		if p.cmd.ProcessState == nil {
			p.kill()
		}
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, tail(p.log.String()))
		}
	}
	_ = f.group.Wait()
}

func tail(s string) string {
	const maxBytes = 4000
	return s[max(0, len(s)-maxBytes):]
}

// startBackend starts a stand-in of a service and announces it to all entry
// hosts.
func (f *processFleet) startBackend(service mustardramp.ServiceName, slots int, work time.Duration) *standin.Backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	b := &standin.Backend{Name: fmt.Sprintf("%s-%d", service, len(f.backends)+1), Slots: slots, Work: work}
	f.backends = append(f.backends, b)
	server := &http.Server{Handler: b}
	f.group.Go(func() error { return server.Serve(listener) })
	client := &announce.Client{Token: "fedcba9876543210", About: announce.Announcement{
		Service: service, Address: listener.Addr().(*net.TCPAddr).AddrPort(), Zone: "kol-a", Region: "kolkata",
		Slots: mustardramp.Slots(slots), Connections: 400, Incarnation: mustardramp.Incarnation(time.Now().UnixMilli()),
	}}
	for _, e := range f.entry {
		client.Hosts = append(client.Hosts, "http://"+e.announce)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.group.Go(func() error {
		_ = client.Serve(ctx)
		return client.Run(ctx)
	})
	f.t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return b
}

// runCommand runs the operator's command against an entry host and returns its
// output.
func (f *processFleet) runCommand(entry int, args ...string) (string, error) {
	f.t.Helper()
	return f.runCommandAt(f.entry[entry].admin, args...)
}

// runCommandAt runs the operator's command against an administration address
// and returns its output.
func (f *processFleet) runCommandAt(admin string, args ...string) (string, error) {
	f.t.Helper()
	path, err := buildBinary()
	if err != nil {
		f.t.Fatal(err)
	}
	out, err := exec.Command(path, append(append(args, "--admin", admin), f.remoteFlags...)...).CombinedOutput()
	return string(out), err
}

// publish puts an example's contract in force on all hosts.
func (f *processFleet) publish(file string) {
	f.t.Helper()
	eventually(f.t, "publish "+file, func() error {
		out, err := f.runCommand(0, "contract", "publish", "../../examples/sutradhar/"+file, "--why", "test", "--wait")
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// send sends a request to an entry host and returns status, body and header of
// the response. The last arguments are names and values of headers in turn.
func (f *processFleet) send(entry int, method, host, path string, body io.Reader, header ...string) (int, string, http.Header, error) {
	r, err := http.NewRequest(method, f.scheme+"://"+f.entry[entry].traffic+path, body)
	if err != nil {
		return 0, "", nil, err
	}
	r.Host = host
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := f.client.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Header, err
}

// waitForService waits until every entry host answers a request with status 200.
func (f *processFleet) waitForService(method, host, path string) {
	f.t.Helper()
	for i := range f.entry {
		eventually(f.t, "service at "+f.entry[i].name, func() error {
			status, body, _, err := f.send(i, method, host, path, nil)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", status, body)
			}
			return err
		})
	}
}

// eventually repeats a step until it succeeds, and fails the test after
// waitLimit.
func eventually(t *testing.T, what string, step func() error) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		err := step()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// usedAddresses holds the addresses that freeAddress has returned: the system
// may assign a closed port again before the process of its host listens on it.
var usedAddresses sync.Map

// freeAddress returns a loopback address that is free now and was not returned
// before.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

func TestProcessesServeOneRequestEndToEnd(t *testing.T) {
	f := startProcessFleet(t, 1, 3)
	f.publish("patha.yaml")
	f.startBackend("patha", 6, time.Millisecond)
	f.waitForService("GET", "patha.sutradhar.example", "/transcripts/118")
	_, _, header, err := f.send(1, "GET", "patha.sutradhar.example", "/nowhere", nil)
	if err != nil {
		t.Fatal(err)
	}
	out, err := f.runCommand(0, "refusal", "why", header.Get("Mustardramp-Refusal"))
	if err != nil || !strings.Contains(out, "no: the operation did not run") {
		t.Errorf("got %q, %v, want the refusal of another host explained", out, err)
	}
}

func TestTerminatedHostFinishesAnUpload(t *testing.T) {
	f := startProcessFleet(t, 1, 2)
	f.publish("dhwani.yaml")
	f.startBackend("dhwani", 6, time.Millisecond)
	f.waitForService("GET", "dhwani.sutradhar.example", "/recordings/1/state")

	reader, writer := io.Pipe()
	var group errgroup.Group
	var status int
	var body string
	group.Go(func() error {
		var err error
		status, body, _, err = f.send(0, "PUT", "dhwani.sutradhar.example", "/recordings/7", reader)
		return err
	})
	if _, err := writer.Write(make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	group.Go(func() error {
		exited <- f.entry[0].terminate()
		return nil
	})
	// The host is stopping once its listener is closed.
	eventually(t, "the listener to close", func() error {
		conn, err := net.Dial("tcp", f.entry[0].traffic)
		if err != nil {
			return nil
		}
		_ = conn.Close()
		return fmt.Errorf("%s still accepts", f.entry[0].name)
	})
	if _, err := writer.Write(make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if want := "2097152 bytes in"; status != http.StatusOK || !strings.Contains(body, want) {
		t.Errorf("got status %d, %q, want %q", status, body, want)
	}
	if err := <-exited; err != nil {
		t.Errorf("got %v, want exit code 0", err)
	}
}
