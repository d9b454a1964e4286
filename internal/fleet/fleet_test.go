package fleet_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/internal/fleet"
	"github.com/mustardramp/mustardramp/pkg/admin"
)

// startLimit bounds the start of a fleet; it is no target for its duration.
const startLimit = time.Minute

// startFleet starts a fleet, which runs until the test ends, and waits until it
// is ready.
func startFleet(t testing.TB, size fleet.Size) *fleet.Fleet {
	t.Helper()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	f, err := fleet.New(size)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx, context.Background()) })
	t.Cleanup(func() {
		cancel()
		if err := errors.Join(group.Wait(), f.Close()); err != nil {
			t.Error(err)
		}
	})
	startCtx, cancelStart := context.WithTimeout(ctx, startLimit)
	defer cancelStart()
	if _, err := f.Publish(startCtx); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(startCtx); err != nil {
		t.Fatal(err)
	}
	return f
}

// sendRequest sends a request to an entry host and returns the response and its
// body.
func sendRequest(t *testing.T, f *fleet.Fleet, entry int, method, host, path string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+f.Entry[entry].TrafficAddress().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func TestFleetServesRequestsAndExplainsRefusals(t *testing.T) {
	f := startFleet(t, fleet.Size{Control: 1, Entry: 3, Backends: 2})
	for entry := range f.Entry {
		response, body := sendRequest(t, f, entry, "GET", "patha.sutradhar.example", "/transcripts/118")
		if got, want := response.StatusCode, http.StatusOK; got != want {
			t.Fatalf("got status %d from host %d, want %d: %s", got, entry, want, body)
		}
		if want := "served GET /transcripts/118"; !strings.Contains(body, want) {
			t.Errorf("got %q, want it to hold %q", body, want)
		}
	}
	response, _ := sendRequest(t, f, 1, "POST", "mohor.sutradhar.example", "/certifications", "X-Request-Id", "r-7")
	if got, want := response.Header.Get("Mustardramp-Reason"), "key-missing"; got != want {
		t.Fatalf("got reason %q, want %q", got, want)
	}
	// Ask another host than the one that refused.
	client, err := admin.Dial(admin.Target{Address: f.Entry[0].AdminAddress().String()})
	if err != nil {
		t.Fatal(err)
	}
	token := fleet.AdminToken
	id := response.Header.Get("Mustardramp-Refusal")
	shown, err := client.Refusal.Show(t.Context(), &refusal.ShowPayload{Token: &token, ID: id})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := shown.Operation, "not-run"; got != want {
		t.Errorf("got operation %q, want %q", got, want)
	}
	if shown.RuleText == nil || !strings.Contains(*shown.RuleText, "/certifications") {
		t.Errorf("got rule text %v, want the route's line", shown.RuleText)
	}
}
