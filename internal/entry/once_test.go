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

// certify sends a certification under a key.
func (f *fixture) certify(t testing.TB, key, body string, header ...string) *http.Response {
	t.Helper()
	return f.ask(t, "POST", "/certifications", body, append(header, "Idempotency-Key", key)...)
}

// settled waits until no claim is under way.
func (f *fixture) settled(t testing.TB) {
	t.Helper()
	eventually(t, "the settlement", func() bool { return f.ledger.running() == 0 })
}

func certifier(count *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Serial", "17")
		_, _ = fmt.Fprintf(w, "certified %d", count.Add(1))
	}
}

func TestKeyedAnswerIsRecorded(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, serve(t, certifier(&count)))
	for i := range 3 {
		response := f.certify(t, "k", "order 4711")
		if got, want := text(t, response), "certified 1"; got != want || response.Header.Get("X-Serial") != "17" {
			t.Errorf("sending %d: got %q, want %q", i, got, want)
		}
		f.settled(t)
	}
	r := f.wantRefusal(t, f.certify(t, "k", "order 4712"), mustardramp.KindKeyMismatch, mustardramp.Unsent())
	if r.Key != "k" {
		t.Errorf("key: got %q, want k", r.Key)
	}
}

func TestLedgerUnreachable(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, serve(t, certifier(&count)))
	f.ledger.set(true, 0)
	response := f.certify(t, "k", "x")
	f.wantRefusal(t, response, mustardramp.KindLedger, mustardramp.Unsent())
	if got := response.Header.Get("Retry-After"); got != "1" {
		t.Errorf("Retry-After: got %q, want 1", got)
	}
	f.ledger.set(false, 0)
	if got, want := text(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}

// TestClaimReplyLost checks that nothing is sent under a claim without a reply.
func TestClaimReplyLost(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, serve(t, certifier(&count)))
	f.ledger.set(false, 1)
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindLedger, mustardramp.Unsent())
	if got := len(f.pool.demands); got != 0 {
		t.Errorf("demands: got %d, want 0", got)
	}
	if got, want := text(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}

// TestSettlementIsRepeated loses the ledger's replies to the settlement.
func TestSettlementIsRepeated(t *testing.T) {
	var count atomic.Int64
	var f *fixture
	f = newFixture(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		f.ledger.set(true, 0)
		certifier(&count)(w, r)
	}))
	text(t, f.certify(t, "k", "x"))
	f.ledger.set(false, 2)
	f.settled(t)
	f.ledger.set(false, 0)
	if got, want := text(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
}

// TestNotRunIsGivenBack checks that a claim under which nothing ran can be
// claimed again.
func TestNotRunIsGivenBack(t *testing.T) {
	dead := deadAddress(t)
	shed := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Shed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	leaving := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Shed", "leaving") })
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
			f.wantRefusal(t, f.certify(t, "k", "x"), test.kind, mustardramp.Not())
			if got := f.pool.seen(); fmt.Sprint(got) != fmt.Sprint(test.results) {
				t.Errorf("results: got %v, want %v", got, test.results)
			}
			f.settled(t)
			good := newFixture(t, serve(t, certifier(&count)))
			f.pool.backends, f.pool.denial = good.pool.backends, nil
			if got, want := text(t, f.certify(t, "k", "x")), "certified 1"; got != want {
				t.Errorf("answer: got %q, want %q", got, want)
			}
		})
	}
}

// TestRetryUnderOneClaim reaches the third backend after two that did not run
// the operation.
func TestRetryUnderOneClaim(t *testing.T) {
	var count atomic.Int64
	shed := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Shed", "1") })
	f := newFixture(t, deadAddress(t), shed, serve(t, certifier(&count)))
	if got, want := text(t, f.certify(t, "k", "x")), "certified 1"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	f.settled(t)
	for _, c := range f.ledger.claims {
		if c.attempt != 1 || c.outcome != mustardramp.Ran {
			t.Errorf("claim: got attempt %d and outcome %v, want 1 and ran", c.attempt, c.outcome)
		}
	}
}

func TestUnknownOutcomeStays(t *testing.T) {
	address := script(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = readRequest(reader) })
	f := newFixture(t, address)
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindLost, mustardramp.Maybe())
	f.settled(t)
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindUnsettled, mustardramp.Unsent())
	if got := len(f.pool.seen()); got != 1 {
		t.Errorf("attempts: got %d, want 1", got)
	}
}

func TestLongAnswerIsNotKept(t *testing.T) {
	long := strings.Repeat("x", KeepLimit+1)
	f := newFixture(t, serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }))
	if got := text(t, f.certify(t, "k", "x")); got != long {
		t.Errorf("answer: got %d bytes, want %d", len(got), len(long))
	}
	f.settled(t)
	want := mustardramp.Verdict{Operation: mustardramp.Ran, Sending: mustardramp.NotRun}
	f.wantRefusal(t, f.certify(t, "k", "x"), mustardramp.KindAnswerGone, want)
}

// TestDuplicateWaits checks that a second sending waits for the first one's
// outcome without a slot.
func TestDuplicateWaits(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	f := newFixture(t, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-finish
		_, _ = io.WriteString(w, "certified")
	}))
	var group errgroup.Group
	answers := make([]string, 2)
	group.Go(func() error {
		answers[0] = text(t, f.certify(t, "k", "x"))
		return nil
	})
	<-began
	short := f.certify(t, "k", "x", HeaderTimeout, "30")
	f.wantRefusal(t, short, mustardramp.KindInFlight, mustardramp.Unsent())
	group.Go(func() error {
		answers[1] = text(t, f.certify(t, "k", "x"))
		return nil
	})
	eventually(t, "the second sending", func() bool { return f.handler.InFlight() == 2 })
	f.pool.mu.Lock()
	held := f.pool.held
	f.pool.mu.Unlock()
	if held != 1 {
		t.Errorf("slots held: got %d, want 1", held)
	}
	close(finish)
	_ = group.Wait()
	for i, got := range answers {
		if got != "certified" {
			t.Errorf("answer %d: got %q, want certified", i, got)
		}
	}
}

func TestKeyTimes(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	keep := 72 * time.Hour
	uuid := func(at time.Time) string {
		ms := fmt.Sprintf("%012x", at.UnixMilli())
		return ms[:8] + "-" + ms[8:] + "-7abc-8def-0123456789ab"
	}
	ulid := func(at time.Time) string {
		out := make([]byte, ulidTimeLength)
		for i, ms := ulidTimeLength-1, at.UnixMilli(); i >= 0; i, ms = i-1, ms>>5 {
			out[i] = crockford[ms&31]
		}
		return string(out) + "0123456789ABCDEF"
	}
	tests := map[string]struct {
		key  string
		want bool
	}{
		"fresh uuid":      {uuid(now), false},
		"old uuid":        {uuid(now.Add(-keep)), true},
		"nearly old uuid": {uuid(now.Add(-keep + time.Minute)), true},
		"future uuid":     {uuid(now.Add(time.Hour)), true},
		"random uuid":     {"f81d4fae-7dec-41d0-a765-00a0c91e6bf6", false},
		"fresh ulid":      {ulid(now), false},
		"lower ulid":      {strings.ToLower(ulid(now.Add(-keep))), true},
		"old ulid":        {ulid(now.Add(-keep)), true},
		"no ulid":         {"00000000000000000000000042", false},
		"plain":           {"order-4711", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := expired(test.key, now, keep); got != test.want {
				t.Errorf("expired(%q): got %v, want %v", test.key, got, test.want)
			}
		})
	}
	f := newFixture(t)
	f.wantRefusal(t, f.certify(t, uuid(now.Add(-10*365*24*time.Hour)), "x"), mustardramp.KindKeyExpired, mustardramp.Unsent())
}

// runs counts what ran at the backends, by operation and by sending.
type runs struct {
	mu         sync.Mutex
	operations map[string]int
	sendings   map[string]int
}

func (r *runs) of(counts map[string]int, name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return counts[name]
}

// faulty is a backend that fails in each way around the moment of the run.
func (r *runs) faulty(random func(int) int) http.HandlerFunc {
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

// TestOnceUnderFaults resends operations through two hosts, while backends
// fail and the ledger loses replies, and checks every verdict against what ran.
func TestOnceUnderFaults(t *testing.T) {
	const operations, sendings = 150, 6
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(11, 23))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	ran := &runs{operations: map[string]int{}, sendings: map[string]int{}}
	addresses := []string{deadAddress(t), serve(t, ran.faulty(random)), serve(t, ran.faulty(random))}
	hosts := []*fixture{newFixture(t, addresses...), newFixture(t, addresses...)}
	hosts[1].handler.config.Host = "kol-a-2"
	hosts[1].handler.config.Ledger = hosts[0].ledger
	hosts[1].handler.settler.ledger = hosts[0].ledger
	var group errgroup.Group
	group.SetLimit(24)
	for i := range operations * sendings {
		key, id := strconv.Itoa(i/sendings), strconv.Itoa(i)
		if i%40 == 0 {
			hosts[0].ledger.set(false, 2)
		}
		group.Go(func() error {
			before := ran.of(ran.operations, key)
			response := hosts[i%2].certify(t, key, key, "X-Request-Id", id, HeaderTimeout, "2000")
			body := text(t, response)
			verdict := response.Header.Get(HeaderVerdict)
			if response.Header.Get(HeaderRefusal) == "" && body != key {
				return fmt.Errorf("sending %s: got the answer %q, want %q", id, body, key)
			}
			if strings.Contains(verdict, "operation=not-run") && before > 0 {
				return fmt.Errorf("sending %s: got %s, want no claim that it did not run", id, verdict)
			}
			if strings.Contains(verdict, "sending=not-run") && ran.of(ran.sendings, id) > 0 {
				return fmt.Errorf("sending %s: got %s, want no claim that it did not run", id, verdict)
			}
			if strings.Contains(verdict, "operation=ran") && ran.of(ran.operations, key) == 0 {
				return fmt.Errorf("sending %s: got %s, want no claim that it ran", id, verdict)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for key, got := range ran.operations {
		if got != 1 {
			t.Errorf("operation %s: got %d runs, want 1 at most", key, got)
		}
	}
	if got := len(ran.operations); got < operations/2 {
		t.Errorf("operations that ran: got %d, want at least %d", got, operations/2)
	}
}
