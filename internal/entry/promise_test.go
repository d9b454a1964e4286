package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// ranStatuses are the statuses that promise callers that a request has not run.
var ranStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failureHandler runs a request and then fails it with a status, without stating that it
// has not run.
func failureHandler(runs *atomic.Int64, status int, body string, chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Retry-After", "1")
		if !chunked {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		writeStamped(w, r, status, body)
	}
}

// TestPromiseOfABackendThatRanTheRequestIsWithheld guards against a request that runs
// twice, since the caller of the first one was told that it had not run.
func TestPromiseOfABackendThatRanTheRequestIsWithheld(t *testing.T) {
	bodies := map[string]struct {
		length  int
		chunked bool
	}{
		"empty":         {},
		"short":         {length: 10},
		"short chunked": {length: 10, chunked: true},
		"long":          {length: 200_000},
		"long chunked":  {length: 200_000, chunked: true},
	}
	routes := map[string]struct {
		newFixture func(testing.TB, ...string) *fixture
		path       string
	}{
		"table, unsafe":    {newTableFixture, "/acts/1"},
		"table, upload":    {newTableFixture, "/loads/1"},
		"contract, once":   {newFixture, "/stamps"},
		"contract, keyed":  {newFixture, "/certifications"},
		"contract, others": {newFixture, "/plain/1"},
	}
	for routeName, route := range routes {
		for bodyName, body := range bodies {
			for _, status := range ranStatuses {
				if status == http.StatusMisdirectedRequest && strings.HasPrefix(routeName, "table") {
					// There the status proves that another instance has the address.
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%d", routeName, bodyName, status), func(t *testing.T) {
					var runs atomic.Int64
					f := route.newFixture(t, startBackend(t, failureHandler(&runs, status, strings.Repeat("x", body.length), body.chunked)))
					response := f.send(t, http.MethodPost, route.path, "order", "X-Request-Id", "r1", "Idempotency-Key", "k1")
					_ = readBody(t, response)
					if response.StatusCode != http.StatusBadGateway || runs.Load() != 1 {
						t.Errorf("got status %d after %d runs, want %d after one", response.StatusCode, runs.Load(), http.StatusBadGateway)
					}
					if got := response.Header.Get("Retry-After") + response.Header.Get("X-Stamp"); got != "" {
						t.Errorf("got headers of the backend %q, want none", got)
					}
					f.wantRefusal(t, response, mustardramp.KindBadAnswer, mustardramp.VerdictRan())
					if got := f.pool.releasedResults(); len(got) != 1 || got[0] != mustardramp.ResultError {
						t.Errorf("got results %v of the backend, want one failure", got)
					}
				})
			}
		}
	}
}

// TestRecordedAnswerDoesNotPromiseThatNothingRan sends a keyed request again whose backend
// failed it after it had run. The answer that an earlier version recorded must not lie
// either.
func TestRecordedAnswerDoesNotPromiseThatNothingRan(t *testing.T) {
	var runs atomic.Int64
	f := newFixture(t, startBackend(t, failureHandler(&runs, http.StatusServiceUnavailable, "stored, but not indexed", false)))
	_ = readBody(t, f.certify(t, "k", "order 4711"))
	f.waitForSettlement(t)
	want := mustardramp.Verdict{Operation: mustardramp.Ran, Sending: mustardramp.NotRun}
	f.wantRefusal(t, f.certify(t, "k", "order 4711"), mustardramp.KindAnswerNotStored, want)
	f.ledger.mu.Lock()
	for _, c := range f.ledger.claims {
		c.answer = &mustardramp.RecordedResponse{Kept: true, Status: http.StatusServiceUnavailable}
	}
	f.ledger.mu.Unlock()
	f.wantRefusal(t, f.certify(t, "k", "order 4711"), mustardramp.KindAnswerNotStored, want)
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// TestSafeRouteKeepsTheStatusOfItsBackend checks that a request that may run again keeps
// the status and the body.
func TestSafeRouteKeepsTheStatusOfItsBackend(t *testing.T) {
	for name, test := range map[string]struct {
		newFixture func(testing.TB, ...string) *fixture
		path       string
	}{
		"table":    {newTableFixture, "/reads/1"},
		"contract": {newFixture, "/files/1"},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			f := test.newFixture(t, startBackend(t, failureHandler(&runs, http.StatusServiceUnavailable, "index down", false)))
			response := f.send(t, http.MethodGet, test.path, "", "X-Request-Id", "r1")
			if got, want := readBody(t, response), "index down"; got != want || response.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("got %d %q, want 503 %q", response.StatusCode, got, want)
			}
		})
	}
}

// TestRefusalPromisesNothingOfARequestThatMayHaveRun checks the statuses of refusals that
// are made after a byte of the request was sent.
func TestRefusalPromisesNothingOfARequestThatMayHaveRun(t *testing.T) {
	once, repeatable := &contract.Route{Once: true}, &contract.Route{Retry: true}
	table := &contract.Route{Once: true, Parts: []contract.Part{{}}}
	for name, test := range map[string]struct {
		route   *contract.Route
		verdict mustardramp.Verdict
		want    int
	}{
		"once, may have run":       {once, mustardramp.VerdictMayHaveRun(), http.StatusBadGateway},
		"once, ran":                {once, mustardramp.VerdictRan(), http.StatusBadGateway},
		"once, not run":            {once, mustardramp.VerdictNotRun(), http.StatusServiceUnavailable},
		"repeatable, may have run": {repeatable, mustardramp.VerdictMayHaveRun(), http.StatusServiceUnavailable},
		"table, may have run":      {table, mustardramp.VerdictMayHaveRun(), http.StatusBadGateway},
		"table, not run":           {table, mustardramp.VerdictNotRun(), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			for _, kind := range []mustardramp.RefusalKind{mustardramp.KindStopping, mustardramp.KindShed} {
				x := &exchange{route: test.route}
				if got := x.refusalStatus(&mustardramp.Refusal{Kind: kind, Verdict: test.verdict}); got != test.want {
					t.Errorf("%s: got status %d, want %d", kind, got, test.want)
				}
			}
		})
	}
}
