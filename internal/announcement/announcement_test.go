package announcement

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

const mohorContract = "service: mohor\nslots: 6\nconnections: 400\nroutes:\n  - {path: /a, methods: [GET]}\n"

// fakeRoster records the announcements and returns a fixed error.
type fakeRoster struct {
	backends []mustardramp.Backend
	leases   []time.Duration
	err      error
}

func (r *fakeRoster) Announce(_ time.Time, b mustardramp.Backend, lease time.Duration) error {
	r.backends = append(r.backends, b)
	r.leases = append(r.leases, lease)
	return r.err
}

func newHandler(t *testing.T, roster Roster, hasConfiguration bool) *Handler {
	t.Helper()
	c, err := contract.Parse("mohor.yaml", []byte(mohorContract))
	if err != nil {
		t.Fatal(err)
	}
	set := contract.NewSet(1, []*contract.Contract{c})
	return New(Config{
		Roster: roster,
		Contracts: func() *contract.Set {
			if !hasConfiguration {
				return nil
			}
			return set
		},
		Tokens: []string{"old", "new"},
		Zones:  map[mustardramp.Zone]mustardramp.Region{"kol-a": "kolkata"},
	})
}

const validBody = `{"service":"mohor","address":"10.0.0.1:80","zone":"kol-a","state":"serving","incarnation":1,"sequence":2,"lease":10000}`

func TestAnnouncements(t *testing.T) {
	tests := map[string]struct {
		body, token, contentType string
		hasConfiguration         bool
		err                      error
		status                   int
		reason                   string
	}{
		"valid":                  {validBody, "Bearer new", "application/json", true, nil, 204, ""},
		"old token":              {validBody, "bearer old", "application/json", true, nil, 204, ""},
		"no token":               {validBody, "", "application/json", true, nil, 401, "token"},
		"wrong token":            {validBody, "Bearer nev", "application/json", true, nil, 401, "token"},
		"not a bearer token":     {validBody, "Basic new", "application/json", true, nil, 401, "token"},
		"not JSON content type":  {validBody, "Bearer new", "text/plain", true, nil, 415, "application/json"},
		"no configuration":       {validBody, "Bearer new", "application/json", false, nil, 503, "configuration"},
		"stale sequence":         {validBody, "Bearer new", "application/json", true, roster.ErrSequence.New("older"), 409, "older"},
		"roster full":            {validBody, "Bearer new", "application/json", true, roster.ErrFull.New("full"), 503, "full"},
		"fault found by roster":  {validBody, "Bearer new", "application/json", true, roster.ErrPlace.New("no region"), 422, "region"},
		"not JSON":               {"{", "Bearer new", "application/json", true, nil, 400, "valid"},
		"two announcements":      {validBody + validBody, "Bearer new", "application/json", true, nil, 400, "more than one"},
		"unknown field":          {`{"serivce":"a"}`, "Bearer new", "application/json", true, nil, 400, "serivce"},
		"unknown state":          {strings.Replace(validBody, "serving", "well", 1), "Bearer new", "application/json", true, nil, 400, "well"},
		"host name as address":   {strings.Replace(validBody, "10.0.0.1", "host", 1), "Bearer new", "application/json", true, nil, 400, "valid"},
		"too large":              {`{"service":"` + strings.Repeat("a", MaxSize) + `"}`, "Bearer new", "application/json", true, nil, 413, "longer"},
		"unknown service":        {strings.Replace(validBody, "mohor", "dhwani", 1), "Bearer new", "application/json", true, nil, 422, "no contract"},
		"unspecified address":    {strings.Replace(validBody, "10.0.0.1", "0.0.0.0", 1), "Bearer new", "application/json", true, nil, 422, "unspecified"},
		"multicast address":      {strings.Replace(validBody, "10.0.0.1", "224.0.0.1", 1), "Bearer new", "application/json", true, nil, 422, "multicast"},
		"port 0":                 {strings.Replace(validBody, ":80", ":0", 1), "Bearer new", "application/json", true, nil, 422, "port 0"},
		"unknown zone":           {strings.Replace(validBody, "kol-a", "kol-z", 1), "Bearer new", "application/json", true, nil, 422, "not a zone"},
		"region of another zone": {strings.Replace(validBody, `"zone"`, `"region":"siliguri","zone"`, 1), "Bearer new", "application/json", true, nil, 422, "belongs to"},
		"no incarnation":         {strings.Replace(validBody, `"incarnation":1`, `"incarnation":0`, 1), "Bearer new", "application/json", true, nil, 422, "incarnation"},
		"lease too long":         {strings.Replace(validBody, "10000", "9000000", 1), "Bearer new", "application/json", true, nil, 422, "lease"},
		"negative slots":         {strings.Replace(validBody, `"lease"`, `"slots":-1,"lease"`, 1), "Bearer new", "application/json", true, nil, 422, "slots"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			roster := &fakeRoster{err: test.err}
			r := httptest.NewRequest(http.MethodPost, announce.Path, strings.NewReader(test.body))
			r.Header.Set("Content-Type", test.contentType)
			r.Header.Set("Authorization", test.token)
			w := httptest.NewRecorder()
			newHandler(t, roster, test.hasConfiguration).ServeHTTP(w, r)
			if got := w.Code; got != test.status {
				t.Errorf("status: got %d, want %d", got, test.status)
			}
			if got := w.Body.String(); !strings.Contains(got, test.reason) {
				t.Errorf("body: got %s, want it to contain %q", got, test.reason)
			}
			if got, want := len(roster.backends) == 1, test.status == 204 || test.err != nil; got != want {
				t.Errorf("passed to the roster: got %v, want %v", got, want)
			}
		})
	}
}

func TestEmptyTokenCountsAsNone(t *testing.T) {
	h := New(Config{Tokens: []string{""}})
	if !h.hasValidToken(httptest.NewRequest(http.MethodPost, announce.Path, nil)) {
		t.Error("request without token: got false, want true")
	}
}

// TestClientAnnouncesStates checks that the handler accepts what the client library
// announces of a backend that serves, leaves and is gone.
func TestClientAnnouncesStates(t *testing.T) {
	roster := &fakeRoster{}
	server := httptest.NewServer(newHandler(t, roster, true))
	defer server.Close()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	client := &announce.Client{
		Hosts: []string{"http://127.0.0.1:1", server.URL},
		Token: "new",
		About: announce.Announcement{Service: "mohor", Address: address, Zone: "kol-a", Incarnation: 4},
	}
	ctx, cancel := context.WithCancel(context.Background())
	client.Failed = func(err error) { t.Errorf("announcement: got error %v, want none", err) }
	steps := []func(context.Context) error{client.Serve, client.Leave, client.Serve, client.Gone}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	want := []mustardramp.BackendState{mustardramp.Serving, mustardramp.Leaving, mustardramp.Leaving, mustardramp.Gone}
	for i, b := range roster.backends {
		if b.State != want[i] || b.Sequence != mustardramp.Sequence(i+1) || b.ID != "mohor/10.0.0.1:80" {
			t.Errorf("announcement %d: got %+v, want state %v, sequence %d", i, b, want[i], i+1)
		}
		if b.Slots != 6 || b.Connections != 400 || b.Place.Region != "kolkata" {
			t.Errorf("announcement %d: got %+v, want the values of the contract and the zone", i, b)
		}
	}
	if got := len(roster.backends); got != len(want) {
		t.Errorf("announcements: got %d, want %d", got, len(want))
	}
	refused := &announce.Client{Hosts: []string{server.URL}, Token: "nev"}
	if err := refused.Serve(context.Background()); !announce.ErrAnnounce.Has(err) || !strings.Contains(err.Error(), "token") {
		t.Errorf("refused announcement: got %v, want the host's reason", err)
	}
}
