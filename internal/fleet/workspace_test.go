package fleet_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp/internal/fleet"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// TestWorkspaceKeysInForce publishes a routing table with workspaces at a control host
// and then removes a key. It guards against entry hosts that accept a removed key or that
// cannot tell whether they are current, and so answer 503 for every unknown key.
func TestWorkspaceKeysInForce(t *testing.T) {
	f := startFleet(t, fleet.Size{Control: 1, Entry: 2, Backends: 1})
	table := &contract.Table{
		Version: 1,
		Routes: []contract.TableRoute{{
			Name: "reads", Host: "table.example", Prefix: "/", Kind: contract.Safe, Timeout: contract.Span(5 * time.Second), Service: "patha",
		}},
		Services:   []contract.TableService{{Name: "patha"}},
		Workspaces: []contract.TableWorkspace{{Name: "acme", Keys: []string{"old", "new"}}, {Name: "beta", Keys: []string{"other"}}},
	}
	if err := f.Control[0].Publish(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	wantStatus := func(key string, want int) {
		t.Helper()
		for i := range f.Entry {
			got := 0
			for deadline := time.Now().Add(startLimit); got != want && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				response, _ := sendRequest(t, f, i, http.MethodGet, "table.example", "/transcripts/1", "Authorization", "Bearer "+key)
				got = response.StatusCode
			}
			if got != want {
				t.Errorf("key %s: got status %d from host %d, want %d", key, got, i, want)
			}
		}
	}
	wantStatus("old", http.StatusOK)
	wantStatus("unknown", http.StatusUnauthorized)
	table.Version, table.Workspaces[0].Keys = 2, []string{"new"}
	if err := f.Control[0].Publish(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	wantStatus("old", http.StatusUnauthorized)
	wantStatus("new", http.StatusOK)
}
