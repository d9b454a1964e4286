package host

import (
	"cmp"
	"slices"

	workspaceapi "github.com/mustardramp/mustardramp/gen/workspace"
	"github.com/mustardramp/mustardramp/internal/tally"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Workspaces implements admin.Workspaces. The counts are those of this host. They
// start anew when the tally drops a workspace without requests for some minutes.
func (v *entryView) Workspaces() []*workspaceapi.Workspace {
	return workspacesOf(v.contracts.Set(), v.tally.Read())
}

// workspacesOf lists the workspaces of a set, sorted by name, with the requests that
// were counted for each of them.
func workspacesOf(set *contract.Set, readings []tally.Reading) []*workspaceapi.Workspace {
	byName := make(map[string]*workspaceapi.Workspace, len(set.Workspaces()))
	out := make([]*workspaceapi.Workspace, 0, len(set.Workspaces()))
	for _, s := range set.Workspaces() {
		w := &workspaceapi.Workspace{
			Name: string(s.Name), Keys: s.KeyCount, Rate: s.Quota.Rate, Burst: s.Quota.Burst, Refused: []*workspaceapi.RefusalCount{},
		}
		if s.HasRank {
			rank := s.Rank.String()
			w.Rank = &rank
		}
		byName[w.Name] = w
		out = append(out, w)
	}
	for _, r := range readings {
		if w := byName[string(r.Caller)]; w != nil {
			addReading(w, r)
		}
	}
	slices.SortFunc(out, func(a, b *workspaceapi.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// addReading adds the requests of one class to a workspace.
func addReading(w *workspaceapi.Workspace, r tally.Reading) {
	w.Requests += r.Count
	w.Served += r.Count
	for _, refused := range r.Refused {
		w.Served -= refused.Count
		kind := refused.Kind.String()
		i := slices.IndexFunc(w.Refused, func(c *workspaceapi.RefusalCount) bool { return c.Kind == kind })
		if i < 0 {
			w.Refused = append(w.Refused, &workspaceapi.RefusalCount{Kind: kind, Count: refused.Count})
			continue
		}
		w.Refused[i].Count += refused.Count
	}
}
