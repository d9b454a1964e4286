package entry

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

func TestRefusedBeforeSending(t *testing.T) {
	many := make([]string, 0, 2*MaxHeaderFields+2)
	for i := range MaxHeaderFields + 1 {
		many = append(many, "X-"+strconv.Itoa(i), "1")
	}
	tests := map[string]struct {
		method, path string
		header       []string
		kind         mustardramp.RefusalKind
		rule         string
	}{
		"dot segment":         {"GET", "/files/../certifications", nil, mustardramp.KindMalformed, "fleet"},
		"escaped dot segment": {"GET", "/files/%2e%2E/certifications", nil, mustardramp.KindMalformed, "fleet"},
		"escaped slash":       {"GET", "/files/a%2Fb", nil, mustardramp.KindMalformed, "fleet"},
		"empty segment":       {"POST", "//certifications", nil, mustardramp.KindMalformed, "fleet"},
		"backslash":           {"GET", "/files/a%5cb", nil, mustardramp.KindMalformed, "fleet"},
		"control character":   {"GET", "/files/a%00b", nil, mustardramp.KindMalformed, "fleet"},
		"path parameter":      {"POST", "/certifications;a=1", nil, mustardramp.KindMalformed, "fleet"},
		"method override":     {"GET", "/files/a", []string{"X-HTTP-Method-Override", "POST"}, mustardramp.KindMalformed, "fleet"},
		"path override":       {"GET", "/files/a", []string{"X-Original-URL", "/stamps"}, mustardramp.KindMalformed, "fleet"},
		"underscore":          {"GET", "/files/a", []string{"Content_Length", "4"}, mustardramp.KindMalformed, "fleet"},
		"connection option":   {"GET", "/files/a", []string{"Connection", "content-length"}, mustardramp.KindMalformed, "fleet"},
		"many headers":        {"GET", "/files/a", many, mustardramp.KindTooLarge, "fleet"},
		"bad timeout":         {"GET", "/files/a", []string{HeaderTimeout, "soon"}, mustardramp.KindMalformed, "mohor@3:12"},
		"no route":            {"GET", "/certifications", nil, mustardramp.KindNoRoute, "mohor@3:8"},
		"escaped letters":     {"GET", "/certi%66ications", nil, mustardramp.KindNoRoute, "mohor@3:8"},
		"key missing":         {"POST", "/certifications", nil, mustardramp.KindKeyMissing, "mohor@3:9"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, unusedAddress(t))
			response := f.send(t, test.method, test.path, "", test.header...)
			r := f.wantRefusal(t, response, test.kind, mustardramp.VerdictNotRun())
			if got := r.Rule.String(); got != test.rule {
				t.Errorf("rule: got %s, want %s", got, test.rule)
			}
			if len(f.pool.demands) != 0 {
				t.Errorf("demands: got %d, want 0", len(f.pool.demands))
			}
		})
	}
}

func TestEscapedLettersMatchTheSameRoute(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.URL.RawPath)) })
	f := newFixture(t, address)
	if got, want := readBody(t, f.send(t, "POST", "/st%61mps", "")), "/st%61mps"; got != want {
		t.Errorf("path at the backend: got %q, want %q", got, want)
	}
	if got := f.pool.demands[0].Idempotent; got {
		t.Error("demand: got idempotent, want the route that runs once")
	}
}

func TestUnknownHostAndConfiguration(t *testing.T) {
	f := newFixture(t)
	r, _ := http.NewRequest("GET", f.server.URL+"/files/a", nil)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	f.wantRefusal(t, response, mustardramp.KindNoService, mustardramp.VerdictNotRun())
	f.handler.config.Contracts = func() *contract.Set { return nil }
	f.wantRefusal(t, f.send(t, "GET", "/files/a", ""), mustardramp.KindNoContract, mustardramp.VerdictNotRun())
}

func TestPoolDenial(t *testing.T) {
	f := newFixture(t)
	f.pool.denial = &mustardramp.Denial{Kind: mustardramp.KindQueueFull, Reason: "full", RetryAfter: 1500e6}
	response := f.send(t, "POST", "/stamps", "")
	r := f.wantRefusal(t, response, mustardramp.KindQueueFull, mustardramp.VerdictNotRun())
	if got, want := response.Header.Get("Retry-After"), "2"; got != want {
		t.Errorf("Retry-After: got %q, want %q", got, want)
	}
	if got, want := r.Rule.String(), "mohor@3:7"; got != want {
		t.Errorf("rule: got %s, want %s", got, want)
	}
	if got, want := response.Header.Get("Content-Type"), "application/problem+json"; got != want {
		t.Errorf("Content-Type: got %q, want %q", got, want)
	}
}
