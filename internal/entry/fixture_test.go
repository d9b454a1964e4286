package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

const testContract = `service: mohor
hosts: [mohor.example]
home: kolkata
shed: X-Shed
ranks:
  urgent: {wait: 3s}
  normal: {share: 25, wait: 2s}
routes:
  - {path: /certifications, methods: [POST], rank: urgent, once: true, key: Idempotency-Key, deadline: 20s, whole: true}
  - {path: /stamps, methods: [POST], once: true, deadline: 20s}
  - {path: "/uploads/{id}", methods: [PUT], once: true, deadline: 20s}
  - {path: "/files/{rest...}", methods: [GET, HEAD, PUT, POST], rank: bulk, retry: true, deadline: 20s}
  - {path: "/plain/{rest...}", methods: [GET, HEAD, PUT, POST, OPTIONS], deadline: 20s}
  - {path: "/whole/{id}", methods: [GET], retry: true, whole: true, deadline: 20s}
  - {path: /short, methods: [GET], deadline: 50ms}
`

func parseContract(t testing.TB) *contract.Contract {
	t.Helper()
	c, err := contract.Parse("mohor.yaml", []byte(testContract))
	if err != nil {
		t.Fatal(err)
	}
	c.Revision = 3
	return c
}

// fakePool hands out its backends in order and skips those already tried.
type fakePool struct {
	mu        sync.Mutex
	backends  []mustardramp.Backend
	denial    *mustardramp.Denial
	results   []mustardramp.Result
	demands   []mustardramp.Demand
	heldSlots int
	notices   []mustardramp.Notice
	// withdrawn holds the backends whose slots are withdrawn once granted.
	withdrawn map[mustardramp.BackendID]bool
	// onAcquire may be nil. It is called at the start of Acquire.
	onAcquire func()
	// opened may be nil. Acquire waits until it is closed.
	opened chan struct{}
	// leftCount counts the demands whose context ended while they waited for opened.
	leftCount atomic.Int64
}

func (p *fakePool) Acquire(ctx context.Context, demand mustardramp.Demand) (mustardramp.Slot, error) {
	if p.onAcquire != nil {
		p.onAcquire()
	}
	if p.opened != nil {
		select {
		case <-p.opened:
		case <-ctx.Done():
			p.leftCount.Add(1)
			return nil, ctx.Err()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demands = append(p.demands, demand)
	if p.denial != nil {
		return nil, p.denial
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, b := range p.backends {
		if !slices.Contains(demand.Tried, b.ID) {
			p.heldSlots++
			return &fakeSlot{pool: p, backend: b}, nil
		}
	}
	return nil, &mustardramp.Denial{Kind: mustardramp.KindNoBackend, Reason: "no backend is left"}
}

func (p *fakePool) Update([]mustardramp.Standing) {}

func (p *fakePool) releasedResults() []mustardramp.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.results)
}

// isIdle reports whether no slot is held.
func (p *fakePool) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldSlots == 0
}

type fakeSlot struct {
	pool     *fakePool
	backend  mustardramp.Backend
	released atomic.Bool
}

func (s *fakeSlot) Backend() mustardramp.Backend { return s.backend }

func (s *fakeSlot) Note(n mustardramp.Notice) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.notices = append(s.pool.notices, n)
}

func (s *fakeSlot) Withdrawn() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.pool.withdrawn[s.backend.ID]
}

func (s *fakeSlot) Release(result mustardramp.Result, _ time.Duration) {
	if s.released.Swap(true) {
		panic("a slot was released twice")
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.results = append(s.pool.results, result)
	s.pool.heldSlots--
}

// fakeBudget allows a fixed number of further attempts.
type fakeBudget struct{ remaining, requestCount atomic.Int64 }

func (b *fakeBudget) CountRequest(mustardramp.Rank, time.Time) { b.requestCount.Add(1) }

func (b *fakeBudget) Allow(mustardramp.Rank, time.Time) bool { return b.remaining.Add(-1) >= 0 }

var errNoQuorum = errors.New("no quorum")

// fakeLedger keeps claims in memory. While it is down, each call fails. A lost
// reply belongs to a call that took effect, but a claim whose grant was lost is
// released.
type fakeLedger struct {
	mu          sync.Mutex
	down        bool
	lostReplies int
	claims      map[mustardramp.ClaimID]*fakeClaim
}

type fakeClaim struct {
	claim   mustardramp.Claim
	running bool
	attempt uint64
	outcome mustardramp.Outcome
	answer  *mustardramp.RecordedResponse
}

func (l *fakeLedger) Claim(_ context.Context, claim mustardramp.Claim) (mustardramp.ClaimReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return mustardramp.ClaimReply{}, errNoQuorum
	}
	reply := l.decide(claim)
	if l.lostReplies > 0 {
		l.lostReplies--
		if reply.State == mustardramp.ClaimGranted {
			l.claims[claim.ID].running = false
		}
		return mustardramp.ClaimReply{}, errNoQuorum
	}
	return reply, nil
}

func (l *fakeLedger) decide(claim mustardramp.Claim) mustardramp.ClaimReply {
	if l.claims == nil {
		l.claims = map[mustardramp.ClaimID]*fakeClaim{}
	}
	c := l.claims[claim.ID]
	switch {
	case c == nil:
		c = &fakeClaim{claim: claim, outcome: mustardramp.NotRun}
		l.claims[claim.ID] = c
	case c.claim.Digest != claim.Digest:
		return mustardramp.ClaimReply{State: mustardramp.ClaimMismatch}
	case c.running:
		return mustardramp.ClaimReply{State: mustardramp.ClaimRunning}
	case c.outcome == mustardramp.Ran:
		return mustardramp.ClaimReply{State: mustardramp.ClaimRan, Answer: c.answer}
	case c.outcome == mustardramp.MayHaveRun:
		return mustardramp.ClaimReply{State: mustardramp.ClaimUnsettled}
	}
	c.claim = claim
	c.running = true
	c.attempt++
	return mustardramp.ClaimReply{State: mustardramp.ClaimGranted, Attempt: c.attempt}
}

func (l *fakeLedger) Settle(_ context.Context, s mustardramp.Settlement) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errNoQuorum
	}
	c := l.claims[s.ID]
	if c != nil && (s.Attempt < c.attempt || s.Attempt == c.attempt && !c.running && c.outcome == s.Outcome) {
		// The settlement took effect before, but its reply was lost.
		return nil
	}
	if c == nil || !c.running || c.attempt != s.Attempt {
		return errors.New("no such claim")
	}
	c.running = false
	c.outcome = s.Outcome
	c.answer = s.Answer
	if l.lostReplies > 0 {
		l.lostReplies--
		return errNoQuorum
	}
	return nil
}

// setFailures changes how the ledger fails.
func (l *fakeLedger) setFailures(down bool, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.lostReplies = lost
}

// runningClaims returns the number of claims without an outcome.
func (l *fakeLedger) runningClaims() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.claims {
		if c.running {
			n++
		}
	}
	return n
}

// fixture is an entry host in front of some backends.
type fixture struct {
	handler *Handler
	server  *httptest.Server
	pool    *fakePool
	budget  *fakeBudget
	ledger  *fakeLedger
	service Service
	// uploads holds the goroutines that send bodies by hand.
	uploads errgroup.Group
}

// Service implements Services.
func (f *fixture) Service(mustardramp.ServiceName) *Service {
	return &f.service
}

func newFixture(t testing.TB, backends ...string) *fixture {
	t.Helper()
	return newFixtureWith(t, parseContract(t), mustardramp.SystemClock{}, backends...)
}

func newFixtureWith(t testing.TB, c *contract.Contract, clock mustardramp.Clock, backends ...string) *fixture {
	t.Helper()
	f := &fixture{pool: &fakePool{}, budget: &fakeBudget{}, ledger: &fakeLedger{}}
	f.service.Pool, f.service.Budget = f.pool, f.budget
	f.budget.remaining.Store(100)
	for _, address := range backends {
		b := mustardramp.Backend{
			ID:      mustardramp.BackendID("mohor/" + address),
			Service: "mohor",
			Address: netip.MustParseAddrPort(address),
			State:   mustardramp.Serving,
		}
		f.pool.backends = append(f.pool.backends, b)
	}
	set := contract.NewSet(1, []*contract.Contract{c})
	f.handler = New(Config{
		Host:        "kol-a-1",
		Incarnation: 7,
		Contracts:   func() *contract.Set { return set },
		Services:    f,
		Ledger:      f.ledger,
		Clock:       clock,
	})
	f.server = httptest.NewUnstartedServer(f.handler)
	f.server.Config.ConnContext = withCallerConn
	f.server.Start()
	t.Cleanup(func() {
		_ = f.uploads.Wait()
		f.server.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = f.handler.Close(ctx)
	})
	return f
}

// startBackend starts a backend with an HTTP handler and returns its address.
func startBackend(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// startRawBackend starts a backend that calls handleConn for each connection,
// and returns its address.
func startRawBackend(t testing.TB, handleConn func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				handleConn(conn, bufio.NewReader(conn))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// readRequest reads one request and its body.
func readRequest(reader *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// send sends a request with headers given as pairs of name and value.
func (f *fixture) send(t testing.TB, method, path, body string, header ...string) *http.Response {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, f.server.URL+path, reader)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "mohor.example"
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// readBody returns the body of a response, which must be complete.
func readBody(t testing.TB, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("body: got error %v, want a complete body", err)
	}
	return string(body)
}

// wantRefusal checks the kind and verdict of a refusal, and that it is stored.
func (f *fixture) wantRefusal(t testing.TB, response *http.Response, kind mustardramp.RefusalKind, verdict mustardramp.Verdict) mustardramp.Refusal {
	t.Helper()
	if got := response.Header.Get(HeaderReason); got != kind.String() {
		t.Errorf("kind: got %q (status %d), want %q", got, response.StatusCode, kind)
	}
	if got, want := response.Header.Get(HeaderVerdict), formatVerdict(verdict); got != want {
		t.Errorf("verdict: got %q, want %q", got, want)
	}
	r, ok := f.handler.Refusals().ByID(mustardramp.RefusalID(response.Header.Get(HeaderRefusal)))
	if !ok {
		t.Fatalf("refusal %q: got none stored, want one", response.Header.Get(HeaderRefusal))
	}
	return r
}

// eventually waits until a condition holds.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: got a timeout, want it to happen", description)
}
