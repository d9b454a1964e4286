package host

import (
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/tally"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// TestWorkspacesCountOwnRequests guards against counts of callers that are no workspace,
// and against refusals of one kind that are listed once for each service and rank.
func TestWorkspacesCountOwnRequests(t *testing.T) {
	table := &contract.Table{Version: 1, Workspaces: []contract.TableWorkspace{
		{Name: "beta", Keys: []string{"k-3"}},
		{Name: "acme", Keys: []string{"k-1", "k-2"}, Rate: new(40.5), Burst: new(8), Priority: new(3)},
	}}
	set := contract.NewSet(1, []*contract.Contract{{Service: contract.TableName, Table: table}})
	var counts tally.Tally
	for _, stats := range []entry.RequestStats{
		{Service: "mohor", Caller: "acme"},
		{Service: "mohor", Caller: "acme", Refused: mustardramp.KindQuota},
		{Service: "patha", Caller: "acme", Rank: mustardramp.Bulk, Refused: mustardramp.KindQuota},
		{Service: "mohor", Caller: "127.0.0.1", Refused: mustardramp.KindUnauthorized},
	} {
		counts.Count(stats)
	}
	got := workspacesOf(set, counts.Read())
	if len(got) != 2 || got[0].Name != "acme" || got[1].Name != "beta" {
		t.Fatalf("got %+v, want acme and beta", got)
	}
	acme, beta := got[0], got[1]
	if acme.Keys != 2 || acme.Rate != 40.5 || acme.Burst != 8 || acme.Rank == nil || *acme.Rank != "urgent" || acme.Requests != 3 || acme.Served != 1 {
		t.Errorf("got %+v, want the limits of acme and 1 of 3 requests served", acme)
	}
	if len(acme.Refused) != 1 || acme.Refused[0].Kind != "quota" || acme.Refused[0].Count != 2 {
		t.Errorf("got refusals %+v, want 2 of the kind quota", acme.Refused)
	}
	if beta.Requests != 0 || beta.Rank != nil || len(beta.Refused) != 0 {
		t.Errorf("got %+v, want no requests of beta", beta)
	}
}
