package admin_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	api "github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/internal/admin"
	"github.com/mustardramp/mustardramp/internal/refusal"
	remote "github.com/mustardramp/mustardramp/pkg/admin"
)

// lateFleet is the view of a host that knows another host only at the third
// lookup.
type lateFleet struct {
	admin.Fleet
	address string
	lookups atomic.Int64
}

func (v *lateFleet) Admin(mustardramp.HostName) (string, bool) {
	return v.address, v.lookups.Add(1) >= 3
}

// TestRefusalOfAHostThatJustJoined guards against an answer "not found" for the
// refusal of a host that the asked host does not know yet.
func TestRefusalOfAHostThatJustJoined(t *testing.T) {
	store := &refusal.Store{Limit: 1 << 20}
	store.Add(mustardramp.Refusal{ID: "entry-2.abc.1", Host: "entry-2", At: time.Now(), Verdict: mustardramp.VerdictNotRun()})
	joined := httptest.NewServer(admin.New(admin.Config{Host: "entry-2", Token: "secret", Refusals: store}))
	defer joined.Close()
	asked := httptest.NewServer(admin.New(admin.Config{
		Host: "entry-1", Token: "secret", Refusals: &refusal.Store{},
		Fleet: &lateFleet{address: joined.Listener.Addr().String()},
		Dial: func(address string) (*remote.Client, error) {
			return remote.NewClient("http", address, http.DefaultClient), nil
		},
	}))
	defer asked.Close()

	client := remote.NewClient("http", asked.Listener.Addr().String(), http.DefaultClient)
	token := "secret"
	got, err := client.Refusal.Show(t.Context(), &api.ShowPayload{Token: &token, ID: "entry-2.abc.1"})
	if err != nil {
		t.Fatal(err)
	}
	if got.Host != "entry-2" || got.Operation != "not-run" {
		t.Errorf("got %s of host %s, want not-run of entry-2", got.Operation, got.Host)
	}
}
