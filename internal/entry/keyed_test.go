package entry

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// certify sends a certification with an operation key.
func (f *fixture) certify(t testing.TB, key, body string, header ...string) *http.Response {
	t.Helper()
	return f.send(t, "POST", "/certifications", body, append(header, "Idempotency-Key", key)...)
}

// waitForSettlement waits until no claim is running.
func (f *fixture) waitForSettlement(t testing.TB) {
	t.Helper()
	eventually(t, "settlement", func() bool { return f.ledger.runningClaims() == 0 })
}

func certificationHandler(count *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Serial", "17")
		_, _ = fmt.Fprintf(w, "certified %d", count.Add(1))
	}
}

func TestKeyedResponseIsRecorded(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, startBackend(t, certificationHandler(&count)))
	for i := range 3 {
		response := f.certify(t, "k", "order 4711")
		if got, want := readBody(t, response), "certified 1"; got != want || response.Header.Get("X-Serial") != "17" {
			t.Errorf("sending %d: got %q, want %q", i, got, want)
		}
		f.waitForSettlement(t)
	}
	r := f.wantRefusal(t, f.certify(t, "k", "order 4712"), mustardramp.KindKeyMismatch, mustardramp.VerdictUnsent())
	if r.Key != "k" {
		t.Errorf("key: got %q, want k", r.Key)
	}
}

func TestLedgerUnreachable(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, startBackend(t, certificationHandler(&count)))
	f.ledger.setFailures(true, 0)
	response := f.certify(t, "k", "x")
	f.wantRefusal(t, response, mustardramp.KindLedger, mustardramp.VerdictUnsent())
	if got := response.Header.Get("Retry-After"); got != "1" {
		t.Errorf("Retry-After: got %q, want 1", got)
	}
	f.ledger.setFailures(false, 0)
	if got, want := readBody(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("response: got %q, want %q", got, want)
	}
}

// TestClaimReplyLost checks that nothing is sent if the reply to the claim is
// lost.
func TestClaimReplyLost(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, startBackend(t, certificationHandler(&count)))
	f.ledger.setFailures(false, 1)
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindLedger, mustardramp.VerdictUnsent())
	if got := len(f.pool.demands); got != 0 {
		t.Errorf("demands: got %d, want 0", got)
	}
	if got, want := readBody(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("response: got %q, want %q", got, want)
	}
}

// TestSettlementIsRetried checks that a settlement is retried while the ledger is
// down and when its replies are lost.
func TestSettlementIsRetried(t *testing.T) {
	var count atomic.Int64
	var f *fixture
	f = newFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		f.ledger.setFailures(true, 0)
		certificationHandler(&count)(w, r)
	}))
	readBody(t, f.certify(t, "k", "x"))
	f.ledger.setFailures(false, 2)
	f.waitForSettlement(t)
	f.ledger.setFailures(false, 0)
	if got, want := readBody(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("response: got %q, want %q", got, want)
	}
}

// TestClaimIsReleasedWhenNothingRan checks that an operation can be claimed again
// if nothing ran under the previous claim.
func TestClaimIsReleasedWhenNothingRan(t *testing.T) {
	dead := unusedAddress(t)
	shed := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Shed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	leaving := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Shed", "leaving") })
	tests := map[string]struct {
		backends []string
		denial   *mustardramp.Denial
		kind     mustardramp.RefusalKind
		results  []mustardramp.Result
	}{
		"denied":        {nil, &mustardramp.Denial{Kind: mustardramp.KindQueueFull}, mustardramp.KindQueueFull, nil},
		"dial":          {[]string{dead}, nil, mustardramp.KindDial, []mustardramp.Result{mustardramp.ResultDial}},
		"shed, dial":    {[]string{shed, dead}, nil, mustardramp.KindDial, []mustardramp.Result{mustardramp.ResultShed, mustardramp.ResultDial}},
		"leaving, shed": {[]string{leaving, shed}, nil, mustardramp.KindShed, []mustardramp.Result{mustardramp.ResultLeaving, mustardramp.ResultShed}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var count atomic.Int64
			f := newFixture(t, test.backends...)
			f.pool.denial = test.denial
			f.wantRefusal(t, f.certify(t, "k", "x"), test.kind, mustardramp.VerdictNotRun())
			if got := f.pool.releasedResults(); fmt.Sprint(got) != fmt.Sprint(test.results) {
				t.Errorf("results: got %v, want %v", got, test.results)
			}
			f.waitForSettlement(t)
			good := newFixture(t, startBackend(t, certificationHandler(&count)))
			f.pool.backends, f.pool.denial = good.pool.backends, nil
			if got, want := readBody(t, f.certify(t, "k", "x")), "certified 1"; got != want {
				t.Errorf("response: got %q, want %q", got, want)
			}
		})
	}
}

// TestRetryUnderOneClaim checks that one claim covers retries at further backends
// after two that did not run the operation.
func TestRetryUnderOneClaim(t *testing.T) {
	var count atomic.Int64
	shed := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Shed", "1") })
	f := newFixture(t, unusedAddress(t), shed, startBackend(t, certificationHandler(&count)))
	if got, want := readBody(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("response: got %q, want %q", got, want)
	}
	f.waitForSettlement(t)
	for _, c := range f.ledger.claims {
		if c.attempt != 1 || c.outcome != mustardramp.Ran {
			t.Errorf("claim: got attempt %d and outcome %v, want 1 and ran", c.attempt, c.outcome)
		}
	}
}

func TestUnknownOutcomeBlocksResend(t *testing.T) {
	address := startRawBackend(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = readRequest(reader) })
	f := newFixture(t, address)
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindLost, mustardramp.VerdictMayHaveRun())
	f.waitForSettlement(t)
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindUnsettled, mustardramp.VerdictUnsent())
	if got := len(f.pool.releasedResults()); got != 1 {
		t.Errorf("attempts: got %d, want 1", got)
	}
}

func TestLongResponseIsNotRecorded(t *testing.T) {
	long := strings.Repeat("x", MaxRecordedBytes+1)
	f := newFixture(t, startBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }))
	if got := readBody(t, f.certify(t, "k", "x")); got != long {
		t.Errorf("response: got %d bytes, want %d", len(got), len(long))
	}
	f.waitForSettlement(t)
	want := mustardramp.Verdict{Operation: mustardramp.Ran, Sending: mustardramp.NotRun}
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindAnswerNotStored, want)
}

// TestDuplicateWaitsForFirstSending checks that a second sending waits for the
// outcome of the first one without holding a slot.
func TestDuplicateWaitsForFirstSending(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	f := newFixture(t, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-finish
		_, _ = io.WriteString(w, "certified")
	}))
	var group errgroup.Group
	answers := make([]string, 2)
	group.Go(func() error {
		answers[0] = readBody(t, f.certify(t, "k", "x"))
		return nil
	})
	<-began
	short := f.certify(t, "k", "x", HeaderTimeout, "30")
	f.wantRefusal(t, short, mustardramp.KindInFlight, mustardramp.VerdictUnsent())
	group.Go(func() error {
		answers[1] = readBody(t, f.certify(t, "k", "x"))
		return nil
	})
	eventually(t, "second sending", func() bool { return f.handler.InFlight() == 2 })
	f.pool.mu.Lock()
	held := f.pool.heldSlots
	f.pool.mu.Unlock()
	if held != 1 {
		t.Errorf("slots held: got %d, want 1", held)
	}
	close(finish)
	_ = group.Wait()
	for i, got := range answers {
		if got != "certified" {
			t.Errorf("response %d: got %q, want certified", i, got)
		}
	}
}

func TestKeyExpiry(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	keep := 72 * time.Hour
	uuid := func(at time.Time) string {
		ms := fmt.Sprintf("%012x", at.UnixMilli())
		return ms[:8] + "-" + ms[8:] + "-7abc-8def-0123456789ab"
	}
	ulid := func(at time.Time) string {
		out := make([]byte, ulidTimeLength)
		for i, ms := ulidTimeLength-1, at.UnixMilli(); i >= 0; i, ms = i-1, ms>>5 {
			out[i] = crockfordAlphabet[ms&31]
		}
		return string(out) + "0123456789ABCDEF"
	}
	tests := map[string]struct {
		key  string
		want bool
	}{
		"fresh uuid":         {uuid(now), false},
		"old uuid":           {uuid(now.Add(-keep)), true},
		"nearly old uuid":    {uuid(now.Add(-keep + time.Minute)), true},
		"future uuid":        {uuid(now.Add(time.Hour)), true},
		"random uuid":        {"f81d4fae-7dec-41d0-a765-00a0c91e6bf6", false},
		"fresh ulid":         {ulid(now), false},
		"old lowercase ulid": {strings.ToLower(ulid(now.Add(-keep))), true},
		"old ulid":           {ulid(now.Add(-keep)), true},
		"not a ulid":         {"00000000000000000000000042", false},
		"no time":            {"order-4711", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := isKeyExpired(test.key, now, keep); got != test.want {
				t.Errorf("isKeyExpired(%q): got %v, want %v", test.key, got, test.want)
			}
		})
	}
	f := newFixture(t)
	f.wantRefusal(t, f.certify(t, uuid(now.Add(-10*365*24*time.Hour)), "x"), mustardramp.KindKeyExpired, mustardramp.VerdictUnsent())
}

// runCounter counts the runs at the backends by operation and by sending.
type runCounter struct {
	mu         sync.Mutex
	operations map[string]int
	sendings   map[string]int
}

func (r *runCounter) count(counts map[string]int, name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return counts[name]
}

// faultyHandler returns a backend handler that fails at random before or after it
// counts the run.
func (r *runCounter) faultyHandler(random func(int) int) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		fault := random(6)
		if fault == 0 {
			w.Header().Set("X-Shed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if fault == 1 {
			panic(http.ErrAbortHandler)
		}
		key, id := request.Header.Get("Idempotency-Key"), request.Header.Get("X-Request-Id")
		r.mu.Lock()
		r.operations[key]++
		r.sendings[id]++
		r.mu.Unlock()
		if fault == 2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, key)
	}
}

// TestKeyedOperationsRunOnceUnderFaults resends operations through two hosts while
// backends fail and the ledger loses replies, and checks every verdict against
// what ran.
func TestKeyedOperationsRunOnceUnderFaults(t *testing.T) {
	const operations, sendings = 150, 6
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(11, 23))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	counter := &runCounter{operations: map[string]int{}, sendings: map[string]int{}}
	addresses := []string{unusedAddress(t), startBackend(t, counter.faultyHandler(random)), startBackend(t, counter.faultyHandler(random))}
	hosts := []*fixture{newFixture(t, addresses...), newFixture(t, addresses...)}
	hosts[1].handler.config.Host = "kol-a-2"
	hosts[1].handler.config.Ledger = hosts[0].ledger
	hosts[1].handler.settler.ledger = hosts[0].ledger
	var group errgroup.Group
	group.SetLimit(24)
	for i := range operations * sendings {
		key, id := strconv.Itoa(i/sendings), strconv.Itoa(i)
		if i%40 == 0 {
			hosts[0].ledger.setFailures(false, 2)
		}
		group.Go(func() error {
			before := counter.count(counter.operations, key)
			response := hosts[i%2].certify(t, key, key, "X-Request-Id", id, HeaderTimeout, "2000")
			body := readBody(t, response)
			verdict := response.Header.Get(HeaderVerdict)
			if response.Header.Get(HeaderRefusal) == "" && body != key {
				return fmt.Errorf("sending %s: got the response %q, want %q", id, body, key)
			}
			if strings.Contains(verdict, "operation=not-run") && before > 0 {
				return fmt.Errorf("sending %s: got %s, want no verdict that it did not run", id, verdict)
			}
			if strings.Contains(verdict, "sending=not-run") && counter.count(counter.sendings, id) > 0 {
				return fmt.Errorf("sending %s: got %s, want no verdict that it did not run", id, verdict)
			}
			if strings.Contains(verdict, "operation=ran") && counter.count(counter.operations, key) == 0 {
				return fmt.Errorf("sending %s: got %s, want no verdict that it ran", id, verdict)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for key, got := range counter.operations {
		if got != 1 {
			t.Errorf("operation %s: got %d runs, want at most 1", key, got)
		}
	}
	if got := len(counter.operations); got < operations/2 {
		t.Errorf("operations that ran: got %d, want at least %d", got, operations/2)
	}
}
