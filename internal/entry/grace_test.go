package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// pipeListener accepts in-memory connections. It implements net.Listener.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once

	mu sync.Mutex
	// accepted holds the server's ends of all connections.
	accepted []net.Conn
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.connections:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "tcp" }
func (pipeAddr) String() string  { return "127.0.0.1:80" }

// pipeConn is a pipe with the addresses of a TCP connection.
type pipeConn struct{ net.Conn }

func (pipeConn) LocalAddr() net.Addr  { return pipeAddr{} }
func (pipeConn) RemoteAddr() net.Addr { return pipeAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.connections <- pipeConn{far}:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, far)
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// kill closes all connections as the end of the process does.
func (l *pipeListener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.accepted {
		_ = conn.Close()
	}
}

// slowBackend works for the time that the path of a request names, but no longer than
// the host allows. It counts the requests that arrive.
type slowBackend struct {
	mu      sync.Mutex
	arrived map[string]bool
}

func (b *slowBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	b.mu.Lock()
	b.arrived[id] = true
	b.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Left-Ms"))
	_, name, _ := strings.Cut(r.URL.Path[1:], "/")
	work, _ := time.ParseDuration(name)
	limit := time.Duration(left) * time.Millisecond
	if !sleep(r.Context(), min(work, limit)) {
		return
	}
	if work > limit {
		writeStamped(w, r, http.StatusGatewayTimeout, "too late")
		return
	}
	writeStamped(w, r, http.StatusOK, "whole")
}

// graceCase is a deployment's times and the requests of a planned stop.
type graceCase struct {
	grace, stopDelay, timeout, deadline time.Duration
	// kind is the kind of the requests, and isKept is true if they come over
	// connections that have carried others.
	kind   string
	isKept bool
}

// graceRequest is one request that arrives during a stop, and its end.
type graceRequest struct {
	id, method, path string
	// at is when it is sent, from the begin of the stop.
	at time.Duration
	// body is sent in pieces of a tenth over sending. If it is stuck, the second
	// half never comes.
	body    int
	sending time.Duration
	stuck   bool
	conn    net.Conn
	// status is 0 if the connection ended without a complete answer.
	status int
	ended  time.Duration
}

// exchange sends the request and reads the answer.
func (g *graceRequest) exchange(deadline time.Duration) {
	defer g.conn.Close()
	var writing errgroup.Group
	writing.Go(func() error { return g.write(deadline) })
	response, err := http.ReadResponse(bufio.NewReader(g.conn), nil)
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			g.status = response.StatusCode
		}
	}
	_ = g.conn.Close()
	_ = writing.Wait()
}

func (g *graceRequest) write(deadline time.Duration) error {
	_, err := fmt.Fprintf(g.conn, "%s %s HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: %s\r\nX-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		g.method, g.path, g.id, deadline.Milliseconds(), g.body)
	const pieces = 10
	for i := 0; i < pieces && err == nil && g.body > 0; i++ {
		if g.stuck && i >= pieces/2 {
			return nil
		}
		time.Sleep(g.sending / pieces)
		_, err = io.WriteString(g.conn, strings.Repeat("x", g.body/pieces))
	}
	return err
}

// TestNoRequestIsCutAtTheEndOfTheGrace stops a host while requests of each kind arrive
// over kept and new connections, and ends the process at the end of the grace. Every
// request that reached a backend must have an answer by then, and one that was refused
// as not run must not have reached any.
func TestNoRequestIsCutAtTheEndOfTheGrace(t *testing.T) {
	tests := map[string]graceCase{
		"sutra-ramp":      {grace: 6 * time.Second, stopDelay: 2500 * time.Millisecond, timeout: 8 * time.Second, deadline: 12 * time.Second},
		"nfs-ramp":        {grace: 6 * time.Second, stopDelay: 2500 * time.Millisecond, timeout: 5 * time.Second, deadline: 12 * time.Second},
		"jaldhara-gw":     {grace: 6 * time.Second, stopDelay: 2500 * time.Millisecond, timeout: 2500 * time.Millisecond, deadline: 5 * time.Second},
		"grown":           {grace: 6 * time.Second, stopDelay: 2500 * time.Millisecond, timeout: 10 * time.Minute, deadline: 20 * time.Second},
		"large":           {grace: 10 * time.Second, stopDelay: 2500 * time.Millisecond, timeout: 8 * time.Second, deadline: 15 * time.Second},
		"large, uploads":  {grace: 10 * time.Second, stopDelay: 2500 * time.Millisecond, timeout: 10 * time.Minute, deadline: 20 * time.Second},
		"long stop delay": {grace: 6 * time.Second, stopDelay: 5900 * time.Millisecond, timeout: 8 * time.Second, deadline: 20 * time.Second},
	}
	for name, test := range tests {
		for _, isKept := range []bool{false, true} {
			for _, kind := range []string{"reads", "acts", "uploads"} {
				test.isKept, test.kind = isKept, kind
				t.Run(fmt.Sprintf("%s, %s, kept connections %t", name, kind, isKept), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runGraceCase(t, test) })
				})
			}
		}
	}
}

// requests returns the requests of a stop: some sent before it, and some in each 100 ms
// of the grace. They differ in the time that they take and in how their bodies come.
func (c graceCase) requests() []*graceRequest {
	var requests []*graceRequest
	add := func(r graceRequest) {
		r.id = fmt.Sprintf("r-%d", len(requests))
		requests = append(requests, &r)
	}
	for at := -2 * time.Second; at < c.grace; at += 100 * time.Millisecond {
		switch c.kind {
		case "reads":
			for _, work := range []string{"500ms", "4s", "1m"} {
				add(graceRequest{at: at, method: "GET", path: "/reads/" + work})
			}
		case "acts":
			for _, work := range []string{"500ms", "4s", "1m"} {
				add(graceRequest{at: at, method: "POST", path: "/acts/" + work, body: 100})
			}
			add(graceRequest{at: at, method: "POST", path: "/acts/500ms", body: 1000, stuck: true})
		case "uploads":
			add(graceRequest{at: at, method: "POST", path: "/uploads/500ms", body: 200_000, sending: 1500 * time.Millisecond})
			add(graceRequest{at: at, method: "POST", path: "/uploads/500ms", body: 200_000, sending: 20 * time.Second})
			add(graceRequest{at: at, method: "POST", path: "/uploads/500ms", body: 200_000, stuck: true})
		}
	}
	return requests
}

func runGraceCase(t *testing.T, c graceCase) {
	backend := &slowBackend{arrived: map[string]bool{}}
	backendListener, callers := newPipeListener(), newPipeListener()
	backendServer := &http.Server{Handler: backend}
	var servers errgroup.Group
	servers.Go(func() error { return backendServer.Serve(backendListener) })
	f := newGraceFixture(t, c.timeout, backendListener.dial)
	server := NewServer(f.handler, c.stopDelay, nil)
	server.Grace = c.grace
	servers.Go(func() error { return server.Serve(callers) })
	synctest.Wait()

	requests := c.requests()
	for _, r := range requests {
		if c.isKept {
			r.conn = keptConnection(t, callers)
		}
	}
	start := time.Now().Add(2 * time.Second)
	var running errgroup.Group
	for _, r := range requests {
		running.Go(func() error {
			time.Sleep(time.Until(start.Add(r.at)))
			if r.conn == nil {
				var err error
				if r.conn, err = callers.dial(t.Context(), "", ""); err != nil {
					return nil
				}
			}
			r.exchange(c.deadline)
			r.ended = time.Since(start)
			return nil
		})
	}
	running.Go(func() error {
		time.Sleep(time.Until(start))
		stopped := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		servers.Go(func() error {
			stopped <- server.Stop(ctx)
			return nil
		})
		time.Sleep(c.grace)
		select {
		case <-stopped:
		default:
			t.Errorf("got the stop not ended at the end of the grace, want it ended")
		}
		callers.kill()
		backendListener.kill()
		return nil
	})
	_ = running.Wait()
	_ = backendServer.Close()
	_ = server.server.Close()
	f.handler.cancelRoot(errAborted)
	if err := servers.Wait(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	checkGraceRequests(t, requests, backend, c)
}

// newGraceFixture returns a fixture with a routing table whose backends are reached by
// the dial function.
func newGraceFixture(t *testing.T, timeout time.Duration, dial DialFunc) *fixture {
	t.Helper()
	table := contract.Table{Version: 1, Services: []contract.TableService{{Name: "mohor"}}}
	for name, kind := range map[string]contract.Kind{"reads": contract.Safe, "acts": contract.Unsafe, "uploads": contract.Upload} {
		table.Routes = append(table.Routes, contract.TableRoute{
			Name: name, Host: "mohor.example", Prefix: "/" + name + "/", Kind: kind, Timeout: contract.Span(timeout), Tries: 1, Service: "mohor",
		})
	}
	f := &fixture{pool: &fakePool{}, budget: &fakeBudget{}, ledger: &fakeLedger{}}
	f.service.Pool, f.service.Budget = f.pool, f.budget
	f.pool.backends = []mustardramp.Backend{{ID: "mohor/127.0.0.1:80", Service: "mohor", State: mustardramp.Serving, Instance: "i-0"}}
	set := contract.NewSet(1, []*contract.Contract{parseTable(t, table)})
	f.handler = New(Config{
		Host: "kol-a-1", Incarnation: 7, Services: f, Headers: platformHeaders, Dial: dial,
		Contracts: func() *contract.Set { return set },
	})
	return f
}

// keptConnection returns a connection that has carried one request.
func keptConnection(t *testing.T, callers *pipeListener) net.Conn {
	t.Helper()
	conn, err := callers.dial(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	var writing errgroup.Group
	writing.Go(func() error {
		_, err := io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: before\r\n\r\n")
		return err
	})
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return conn
}

func checkGraceRequests(t *testing.T, requests []*graceRequest, backend *slowBackend, c graceCase) {
	t.Helper()
	served := 0
	acceptsUntil := min(c.stopDelay, c.grace-closingTime(c.grace))
	for _, r := range requests {
		arrived := backend.arrived[r.id]
		switch {
		case arrived && r.status == 0:
			t.Errorf("%s %s at %s: got it passed on and no answer, want one", r.method, r.path, r.at)
		case r.status == 0 && r.conn != nil && !c.isKept && r.at < acceptsUntil:
			t.Errorf("%s %s at %s: got no answer on a new connection, want one", r.method, r.path, r.at)
		case arrived && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests):
			t.Errorf("%s %s at %s: got status %d for a request that was passed on, want no promise", r.method, r.path, r.at, r.status)
		}
		if r.status == http.StatusOK && r.at >= 0 && r.at < c.stopDelay {
			served++
		}
	}
	if served == 0 {
		t.Error("got no request served that came during the stop delay, want those that can end")
	}
}
