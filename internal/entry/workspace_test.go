package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

const testKey = "secret-7f3a"

// workspaceFixture is an entry host with a routing table that holds workspaces, and a
// backend that records the requests that it gets.
type workspaceFixture struct {
	*fixture
	set atomic.Pointer[contract.Set]

	mu       sync.Mutex
	received []*http.Request
}

// workspaceTable returns a table with an anonymous route and the workspaces acme and
// beta, of which only acme has a quota and a priority.
func workspaceTable() contract.Table {
	route := func(prefix string, kind contract.Kind, anonymous bool) contract.TableRoute {
		return contract.TableRoute{
			Name: prefix, Host: "mohor.example", Prefix: prefix, Kind: kind, Timeout: contract.Span(5 * time.Second), Tries: 2,
			Priority: 1, Service: "mohor", Anonymous: &anonymous,
		}
	}
	return contract.Table{
		Version:  1,
		Routes:   []contract.TableRoute{route("/reads/", contract.Safe, false), route("/acts/", contract.Unsafe, false), route("/open/", contract.Safe, true)},
		Services: []contract.TableService{{Name: "mohor"}},
		Workspaces: []contract.TableWorkspace{
			{Name: "acme", Keys: []string{testKey}, Rate: new(40.0), Burst: new(8), Priority: new(0)},
			{Name: "beta", Keys: []string{"key-beta", "key spaced"}},
		},
	}
}

func newWorkspaceFixture(t testing.TB) *workspaceFixture {
	t.Helper()
	f := &workspaceFixture{}
	f.fixture = newTableFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received := r.Clone(context.Background())
		received.Body = io.NopCloser(bytes.NewReader(body))
		f.mu.Lock()
		f.received = append(f.received, received)
		f.mu.Unlock()
		writeStamped(w, r, http.StatusOK, "whole")
	}))
	f.handler.config.Headers.Workspace, f.handler.config.Headers.KeyScheme = "X-Space-Name", "Key"
	f.handler.config.Contracts = f.set.Load
	f.setTable(t, workspaceTable())
	return f
}

func (f *workspaceFixture) setTable(t testing.TB, table contract.Table) {
	t.Helper()
	f.set.Store(contract.NewSet(mustardramp.Index(table.Version), []*contract.Contract{parseTable(t, table)}))
}

// requests returns the requests that the backend got.
func (f *workspaceFixture) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

// sendRaw sends a request with header lines as they are written.
func (f *workspaceFixture) sendRaw(t testing.TB, method, path, body string, lines ...string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: r1\r\n", method, path)
	for _, line := range lines {
		fmt.Fprintf(conn, "%s\r\n", line)
	}
	fmt.Fprintf(conn, "\r\n%s", body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestKeyIdentifiesWorkspace guards against requests without a known key that run, and
// against a backend that gets the key or a workspace's name that the caller made up.
func TestKeyIdentifiesWorkspace(t *testing.T) {
	valid := "Authorization: Key " + testKey
	tests := map[string]struct {
		path       string
		lines      []string
		wantStatus int
		// wantName is the workspace's name that the backend gets, or empty for none.
		wantName string
	}{
		"known key":               {"/reads/1", []string{valid}, 200, "acme"},
		"scheme in other case":    {"/reads/1", []string{"authorization: KEY " + testKey}, 200, "acme"},
		"second workspace":        {"/acts/1", []string{"Authorization: Key key-beta"}, 200, "beta"},
		"known key, anonymous":    {"/open/1", []string{valid}, 200, "acme"},
		"no key, anonymous":       {"/open/1", []string{"X-Space-Name: acme"}, 200, ""},
		"unknown key, anonymous":  {"/open/1", []string{"Authorization: Key other", "x-space-name: acme", "X_Space_Name: acme"}, 200, ""},
		"two keys, anonymous":     {"/open/1", []string{valid, valid}, 200, ""},
		"made-up names":           {"/reads/1", []string{"X-Space-Name: beta", "x-SPACE-name: beta", "X_Space_Name: beta", "X.Space.Name: beta", valid, "X-Space-Name: beta"}, 200, "acme"},
		"name as hop-by-hop":      {"/reads/1", []string{"Connection: X-Space-Name", valid}, 200, "acme"},
		"no key":                  {"/reads/1", nil, 401, ""},
		"no key, made-up name":    {"/reads/1", []string{"X-Space-Name: acme"}, 401, ""},
		"no key, no route":        {"/nowhere", nil, 401, ""},
		"known key, no route":     {"/nowhere", []string{valid}, 404, ""},
		"unknown key":             {"/acts/1", []string{"Authorization: Key other"}, 401, ""},
		"start of a key":          {"/acts/1", []string{"Authorization: Key secret-7f3"}, 401, ""},
		"key with more":           {"/acts/1", []string{valid + "a"}, 401, ""},
		"two headers":             {"/reads/1", []string{valid, "Authorization: Key key-beta"}, 401, ""},
		"the same header twice":   {"/reads/1", []string{valid, valid}, 401, ""},
		"another scheme":          {"/reads/1", []string{"Authorization: Basic " + testKey}, 401, ""},
		"no scheme":               {"/reads/1", []string{"Authorization: " + testKey}, 401, ""},
		"empty key":               {"/reads/1", []string{"Authorization: Key "}, 401, ""},
		"two spaces":              {"/reads/1", []string{"Authorization: Key  " + testKey}, 401, ""},
		"key with a space":        {"/reads/1", []string{valid + " x"}, 401, ""},
		"known key of two words":  {"/reads/1", []string{"Authorization: Key key spaced"}, 401, ""},
		"key with a tab":          {"/reads/1", []string{"Authorization: Key\t" + testKey}, 401, ""},
		"key in another header":   {"/reads/1", []string{"X-Authorization: Key " + testKey}, 401, ""},
		"key of almost 64 KiB":    {"/reads/1", []string{"Authorization: Key " + strings.Repeat("k", 60<<10)}, 401, ""},
		"key with bytes over 127": {"/reads/1", []string{"Authorization: Key \xff\xfe"}, 401, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newWorkspaceFixture(t)
			response := f.sendRaw(t, http.MethodGet, test.path, "", test.lines...)
			_ = readBody(t, response)
			if response.StatusCode != test.wantStatus {
				t.Fatalf("got status %d, want %d", response.StatusCode, test.wantStatus)
			}
			requests := f.requests()
			if response.StatusCode == http.StatusUnauthorized {
				f.wantRefusal(t, response, mustardramp.KindUnauthorized, mustardramp.VerdictNotRun())
				if got := response.Header.Get("WWW-Authenticate"); got != "Key" {
					t.Errorf("got WWW-Authenticate %q, want Key", got)
				}
			}
			if response.StatusCode != http.StatusOK {
				if len(requests) > 0 {
					t.Errorf("got %d requests at the backend, want none", len(requests))
				}
				return
			}
			var names []string
			for name, values := range requests[0].Header {
				if isReadAs(name, "X-Space-Name") {
					names = append(names, values...)
				}
				if isReadAs(name, "Authorization") {
					t.Errorf("got the header %s: %s at the backend, want it removed", name, values)
				}
			}
			if got := strings.Join(names, ","); got != test.wantName {
				t.Errorf("got the names %q at the backend, want %q", got, test.wantName)
			}
		})
	}
}

// TestTrailersHoldNoWorkspace guards against a key or a made-up name that reaches the
// backend as a trailer, which some backends merge into the headers.
func TestTrailersHoldNoWorkspace(t *testing.T) {
	for name, declared := range map[string]string{"declared": "X-Sum, X-Space-Name, Authorization", "undeclared": "X-Sum"} {
		t.Run(name, func(t *testing.T) {
			f := newWorkspaceFixture(t)
			response := f.sendRaw(t, http.MethodPost, "/acts/1", "4\r\nbody\r\n0\r\nX-Sum: s\r\nX_Space_Name: beta\r\nX-Space-Name: beta\r\nAuthorization: Key "+testKey+"\r\n\r\n",
				"Authorization: Key "+testKey, "Transfer-Encoding: chunked", "Trailer: "+declared)
			if body := readBody(t, response); response.StatusCode != http.StatusOK {
				t.Fatalf("got status %d with %s, want 200", response.StatusCode, body)
			}
			if got, want := f.requests()[0].Trailer, (http.Header{"X-Sum": {"s"}}); len(got) != 1 || got.Get("X-Sum") != want.Get("X-Sum") {
				t.Errorf("got trailers %v, want %v", got, want)
			}
		})
	}
}

// TestNoWorkspacesLeaveHeadersAlone guards against a change for deployments whose
// routing table holds no workspaces.
func TestNoWorkspacesLeaveHeadersAlone(t *testing.T) {
	f := newWorkspaceFixture(t)
	table := workspaceTable()
	table.Workspaces = nil
	f.setTable(t, table)
	response := f.sendRaw(t, http.MethodGet, "/reads/1", "", "Authorization: Basic x", "X-Space-Name: any")
	if response.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, want 200", response.StatusCode)
	}
	header := f.requests()[0].Header
	if header.Get("Authorization") != "Basic x" || header.Get("X-Space-Name") != "any" || f.pool.demands[0].Caller != "127.0.0.1" {
		t.Errorf("got header %v of caller %s, want both headers as sent by 127.0.0.1", header, f.pool.demands[0].Caller)
	}
}

// TestDisconnectedHostDoesNotJudgeUnknownKeys guards against a 401 for a key that was
// added while the host had no contact with the control hosts, and against a 401 of a host
// without a table.
func TestDisconnectedHostDoesNotJudgeUnknownKeys(t *testing.T) {
	f := newWorkspaceFixture(t)
	var current atomic.Bool
	f.handler.config.IsCurrent = current.Load
	for key, want := range map[string]int{testKey: http.StatusOK, "new": http.StatusServiceUnavailable} {
		if response := f.sendRaw(t, http.MethodGet, "/reads/1", "", "Authorization: Key "+key); response.StatusCode != want {
			t.Errorf("without contact, %s: got status %d, want %d", key, response.StatusCode, want)
		}
	}
	current.Store(true)
	if response := f.sendRaw(t, http.MethodGet, "/reads/1", "", "Authorization: Key new"); response.StatusCode != http.StatusUnauthorized {
		t.Errorf("with contact: got status %d, want 401", response.StatusCode)
	}
	f.set.Store(nil)
	if response := f.sendRaw(t, http.MethodGet, "/reads/1", "", "Authorization: Key new"); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a table: got status %d, want 503", response.StatusCode)
	}
}

// TestWorkspaceOrdersQueue guards against a queue that ranks a request by its route
// although the workspace has a priority, or is fair among addresses.
func TestWorkspaceOrdersQueue(t *testing.T) {
	for key, want := range map[string]mustardramp.Demand{
		testKey:    {Rank: mustardramp.Urgent, Caller: "acme"},
		"key-beta": {Rank: mustardramp.Normal, Caller: "beta"},
	} {
		f := newWorkspaceFixture(t)
		recorder := &recordedStats{}
		f.handler.config.Recorder = recorder
		_ = readBody(t, f.sendRaw(t, http.MethodGet, "/reads/1", "", "Authorization: Key "+key))
		if got := f.pool.demands[0]; got.Rank != want.Rank || got.Caller != want.Caller {
			t.Errorf("%s: got rank %v and caller %s, want %v and %s", key, got.Rank, got.Caller, want.Rank, want.Caller)
		}
		eventually(t, "measurements", func() bool { return recorder.last.Load() != nil })
		if got := recorder.last.Load(); got.Rank != want.Rank || got.Caller != want.Caller {
			t.Errorf("%s: got measurements of rank %v and caller %s, want %v and %s", key, got.Rank, got.Caller, want.Rank, want.Caller)
		}
	}
}

type recordedStats struct{ last atomic.Pointer[RequestStats] }

func (r *recordedStats) Count(m RequestStats) { r.last.Store(&m) }

// TestKeyIsCheckedAgainAfterTheQueue guards against requests that run under a key that
// was removed while they waited for a slot.
func TestKeyIsCheckedAgainAfterTheQueue(t *testing.T) {
	tests := map[string]struct {
		path   string
		change func(*contract.Table)
		want   int
		kind   mustardramp.RefusalKind
	}{
		"removed":                  {"/acts/1", func(t *contract.Table) { t.Workspaces[0].Keys = nil }, 401, mustardramp.KindUnauthorized},
		"removed with workspace":   {"/reads/1", func(t *contract.Table) { t.Workspaces = t.Workspaces[1:] }, 401, mustardramp.KindUnauthorized},
		"removed, anonymous route": {"/open/1", func(t *contract.Table) { t.Workspaces[0].Keys = nil }, 503, mustardramp.KindNoContract},
		"moved": {"/acts/1", func(t *contract.Table) {
			t.Workspaces[0].Keys, t.Workspaces[1].Keys = nil, []string{testKey}
		}, 503, mustardramp.KindNoContract},
		"all workspaces removed": {"/acts/1", func(t *contract.Table) { t.Workspaces = nil }, 503, mustardramp.KindNoContract},
		"kept":                   {"/acts/1", func(t *contract.Table) { t.Workspaces[0].Keys = []string{"new", testKey} }, 200, mustardramp.KindUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newWorkspaceFixture(t)
			f.pool.onAcquire = func() {
				table := workspaceTable()
				table.Version = 2
				test.change(&table)
				f.setTable(t, table)
			}
			response := f.sendRaw(t, http.MethodGet, test.path, "", "Authorization: Key "+testKey)
			_ = readBody(t, response)
			if response.StatusCode != test.want {
				t.Fatalf("got status %d, want %d", response.StatusCode, test.want)
			}
			if test.want == http.StatusOK {
				return
			}
			f.wantRefusal(t, response, test.kind, mustardramp.VerdictNotRun())
			if got := f.requests(); len(got) > 0 || !f.pool.isIdle() {
				t.Errorf("got %d requests at the backend, idle %v, want none and no slot held", len(got), f.pool.isIdle())
			}
			if got := f.pool.releasedResults(); len(got) != 1 || got[0] != mustardramp.ResultAbandoned {
				t.Errorf("got results %v, want one that does not count against the backend", got)
			}
		})
	}
}

// TestKeyRemovedBetweenAttempts guards against a 401 that hides that an earlier attempt
// may have run, and against a further attempt under the removed key.
func TestKeyRemovedBetweenAttempts(t *testing.T) {
	f := newWorkspaceFixture(t)
	closing := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_ = conn.Close()
	})
	f.pool.backends = slices.Insert(f.pool.backends, 0, mustardramp.Backend{
		ID: "mohor/closing", Service: "mohor", Address: netip.MustParseAddrPort(closing), State: mustardramp.Serving,
	})
	acquired := 0
	f.pool.onAcquire = func() {
		if acquired++; acquired == 2 {
			table := workspaceTable()
			table.Version, table.Workspaces[0].Keys = 2, nil
			f.setTable(t, table)
		}
	}
	response := f.sendRaw(t, http.MethodGet, "/reads/1", "", "Authorization: Key "+testKey)
	_ = readBody(t, response)
	if got := len(f.requests()); response.StatusCode != http.StatusBadGateway || got > 0 || acquired != 2 {
		t.Errorf("got status %d, %d requests at the second backend and %d slots, want 502, none and 2", response.StatusCode, got, acquired)
	}
}

// TestContractRoutesNeedAKey guards against requests without a key that are served by a
// contract beside a routing table with workspaces.
func TestContractRoutesNeedAKey(t *testing.T) {
	f := newWorkspaceFixture(t)
	table := workspaceTable()
	table.Routes = nil
	f.set.Store(contract.NewSet(1, []*contract.Contract{parseContract(t), parseTable(t, table)}))
	for line, want := range map[string]int{"Authorization: Key " + testKey: http.StatusOK, "X-Any: 1": http.StatusUnauthorized} {
		response := f.sendRaw(t, http.MethodGet, "/files/1", "", line)
		if response.StatusCode != want {
			t.Errorf("%s: got status %d, want %d", line, response.StatusCode, want)
		}
	}
	if got := f.pool.demands; len(got) != 1 || got[0].Caller != "acme" || got[0].Rank != mustardramp.Urgent {
		t.Errorf("got demands %+v, want one of acme in its own rank", got)
	}
}

// fakeQuotas counts the tokens taken and given back.
type fakeQuotas struct {
	denial          *mustardramp.Denial
	taken, returned atomic.Int64
	// isWrong is set by a call with another quota than that of acme, or that may wait
	// longer than the request.
	isWrong atomic.Bool
}

func (q *fakeQuotas) Take(ctx context.Context, workspace mustardramp.WorkspaceName, quota mustardramp.Quota) *mustardramp.Denial {
	deadline, ok := ctx.Deadline()
	q.isWrong.Store(workspace != "acme" || quota != mustardramp.Quota{Rate: 40, Burst: 8} || !ok || time.Until(deadline) > 5*time.Second)
	q.taken.Add(1)
	return q.denial
}

func (q *fakeQuotas) Return(mustardramp.WorkspaceName) { q.returned.Add(1) }

// TestQuotaTokens guards against requests beyond a quota that run or whose body is read,
// against tokens that are lost with requests that were not sent, and against tokens of
// requests that were sent and are used twice.
func TestQuotaTokens(t *testing.T) {
	used := &mustardramp.Denial{Kind: mustardramp.KindQuota, Reason: "the quota is used up", RetryAfter: 250 * time.Millisecond}
	busy := &mustardramp.Denial{Kind: mustardramp.KindNoBackend, Reason: "none"}
	tests := map[string]struct {
		key                     string
		quotaDenial, poolDenial *mustardramp.Denial
		unreachable             bool
		wantStatus              int
		wantTaken, wantReturned int64
	}{
		"served":       {testKey, nil, nil, false, 200, 1, 0},
		"used up":      {testKey, used, nil, false, 429, 1, 0},
		"no slot":      {testKey, nil, busy, false, 503, 1, 1},
		"not sent":     {testKey, nil, nil, true, 503, 1, 1},
		"no quota":     {"key-beta", used, nil, false, 200, 0, 0},
		"unknown key":  {"other", used, nil, false, 401, 0, 0},
		"no workspace": {"", used, nil, false, 200, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newWorkspaceFixture(t)
			quotas := &fakeQuotas{denial: test.quotaDenial}
			f.handler.config.Quotas = quotas
			f.pool.denial = test.poolDenial
			if test.unreachable {
				f.pool.backends[0].Address = netip.MustParseAddrPort(unusedAddress(t))
			}
			path, body, expect := "/acts/1", "body", "X-Any: 1"
			if test.key == "" {
				path = "/open/1"
			}
			if test.wantStatus == http.StatusTooManyRequests {
				// A host that reads the body answers 100 first.
				body, expect = "", "Expect: 100-continue"
			}
			response := f.sendRaw(t, http.MethodPost, path, body, expect, "Content-Length: 4", "Authorization: Key "+test.key)
			_ = readBody(t, response)
			if response.StatusCode != test.wantStatus {
				t.Errorf("got status %d, want %d", response.StatusCode, test.wantStatus)
			}
			if response.StatusCode == http.StatusTooManyRequests {
				f.wantRefusal(t, response, mustardramp.KindQuota, mustardramp.VerdictNotRun())
				if got := response.Header.Get("Retry-After"); got != "0.250" || len(f.requests()) > 0 {
					t.Errorf("got Retry-After %q and %d requests at the backend, want 0.250 and none", got, len(f.requests()))
				}
			}
			eventually(t, "end of the request", func() bool { return f.handler.InFlight() == 0 })
			if got, returned := quotas.taken.Load(), quotas.returned.Load(); got != test.wantTaken || returned != test.wantReturned || quotas.isWrong.Load() {
				t.Errorf("got %d tokens taken and %d returned, wrong %v, want %d and %d of acme, within the deadline",
					got, returned, quotas.isWrong.Load(), test.wantTaken, test.wantReturned)
			}
		})
	}
}

// TestKeyAppearsNowhere guards against a key in a log line, a response, a refusal or
// the request that a backend gets.
func TestKeyAppearsNowhere(t *testing.T) {
	// klog writes under a lock, which Flush takes as well.
	var logs bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&logs)
	defer klog.LogToStderr(true)
	for _, line := range []string{
		"Authorization: Key " + testKey, "Authorization: Key " + testKey + "x", "Authorization: Bearer " + testKey,
		"Authorization: " + testKey, "Authorization: Key " + testKey + "\r\nAuthorization: Key " + testKey,
	} {
		for _, path := range []string{"/reads/1", "/open/1", "/nowhere/1"} {
			for _, denial := range []*mustardramp.Denial{nil, {Kind: mustardramp.KindNoBackend, Reason: "none"}} {
				f := newWorkspaceFixture(t)
				f.pool.denial = denial
				response := f.sendRaw(t, http.MethodGet, path, "", line)
				var all bytes.Buffer
				_ = response.Write(&all)
				for _, r := range f.requests() {
					_ = r.Write(&all)
				}
				if r, ok := f.handler.Refusals().ByID(mustardramp.RefusalID(response.Header.Get(HeaderRefusal))); ok {
					_ = json.NewEncoder(&all).Encode(r)
				}
				if got := all.String(); strings.Contains(got, "secret") {
					t.Errorf("%s %s: got %s, want no key", path, line, got)
				}
			}
		}
	}
	klog.Flush()
	if got := logs.String(); strings.Contains(got, "secret") || !strings.Contains(got, "request-refused") {
		t.Errorf("got logs %s, want refusals without a key", got)
	}
}
