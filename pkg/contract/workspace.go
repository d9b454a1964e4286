package contract

import (
	"crypto/sha256"
	"math"
	"strconv"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// keyDigest is the SHA-256 of a workspace's key. Lookups use it in place of the key,
// so that their time does not depend on how much of a key is correct.
type keyDigest [sha256.Size]byte

// Workspace is a workspace of the routing table in force.
type Workspace struct {
	Name mustardramp.WorkspaceName
	// Quota limits the requests over all hosts.
	Quota mustardramp.Quota
	// Rank takes precedence over the rank of a route if HasRank is true.
	Rank    mustardramp.Rank
	HasRank bool
	// KeyCount is the number of keys.
	KeyCount int
}

// addWorkspaces compiles the workspaces of a table.
func (c *compiledTable) addWorkspaces(workspaces []TableWorkspace, ranks map[int]mustardramp.Rank) {
	if len(workspaces) == 0 {
		return
	}
	c.workspaces = make([]*Workspace, len(workspaces))
	c.byKey = make(map[keyDigest]int32, len(workspaces))
	for i := range workspaces {
		t := &workspaces[i]
		w := &Workspace{Name: t.Name, KeyCount: len(t.Keys)}
		if t.Rate != nil {
			w.Quota.Rate = *t.Rate
		}
		if t.Burst != nil {
			w.Quota.Burst = *t.Burst
		}
		if t.Priority != nil {
			w.Rank, w.HasRank = ranks[*t.Priority], true
		}
		c.workspaces[i] = w
		for _, key := range t.Keys {
			c.byKey[sha256.Sum256([]byte(key))] = int32(i)
		}
	}
}

// workspaceRanks returns the ranks that workspaces bring to every service.
func (c *compiledTable) workspaceRanks() (ranks [mustardramp.RankCount]bool) {
	for _, w := range c.workspaces {
		if w.HasRank {
			ranks[w.Rank] = true
		}
	}
	return ranks
}

// HasWorkspaces reports whether the routing table in force holds workspaces.
func (s *Set) HasWorkspaces() bool {
	return s.HasTable() && len(s.table.workspaces) > 0
}

// Workspace returns the workspace that has a key, or nil.
func (s *Set) Workspace(key string) *Workspace {
	if !s.HasWorkspaces() {
		return nil
	}
	i, ok := s.table.byKey[sha256.Sum256([]byte(key))]
	if !ok {
		return nil
	}
	return s.table.workspaces[i]
}

// Workspaces returns the workspaces in the order of the routing table. Callers must
// not change the slice.
func (s *Set) Workspaces() []*Workspace {
	if !s.HasTable() {
		return nil
	}
	return s.table.workspaces
}

// firstWorkspaceLine returns the line of the first workspace in the output of
// Table.Encode.
func (t *Table) firstWorkspaceLine() int {
	return firstRouteLine + len(t.Routes) + 1 + len(t.Services) + 1
}

// checkWorkspaces reports the faults of the workspaces. Faults name workspaces and
// never keys, because they are logged.
func (d *document) checkWorkspaces(t *Table) {
	if len(t.Workspaces) > MaxTableWorkspaces {
		d.addFault(position{}, "more than "+strconv.Itoa(MaxTableWorkspaces)+" workspaces", "remove workspaces")
		return
	}
	names := make(map[mustardramp.WorkspaceName]bool, len(t.Workspaces))
	owners := make(map[string]mustardramp.WorkspaceName, len(t.Workspaces))
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		at := position{line: t.firstWorkspaceLine() + i}
		d.checkWorkspace(w, at)
		if names[w.Name] {
			d.addFault(at, workspaceText(w.Name)+" stands twice", "keep one of them")
			continue
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if other, ok := owners[key]; ok && other != w.Name {
				d.addFault(at, workspaceText(w.Name)+" has a key of "+workspaceText(other), "give each key to one workspace")
			}
			owners[key] = w.Name
		}
	}
}

// checkWorkspace reports the faults of a single workspace.
func (d *document) checkWorkspace(w *TableWorkspace, at position) {
	name := workspaceText(w.Name)
	switch {
	case w.Name == "":
		d.addFault(at, "a workspace has no name", "name it")
	case len(w.Name) > MaxWorkspaceName:
		d.addFault(at, name+" has a name of more than "+strconv.Itoa(MaxWorkspaceName)+" bytes", "shorten it")
	case !isHeaderValue(string(w.Name)):
		d.addFault(at, name+" has a name that a header cannot hold", "remove control characters, and spaces at its ends")
	case w.Rate != nil && !(*w.Rate >= 0 && *w.Rate <= math.MaxFloat64):
		d.addFault(at, name+" has a negative rate", "use 0 or more")
	case w.Burst != nil && *w.Burst < 0:
		d.addFault(at, name+" has a negative burst", "use 0 or more")
	case w.Priority != nil && *w.Priority < 0:
		d.addFault(at, name+" has a negative priority", "use 0 or more")
	}
	for _, key := range w.Keys {
		if key == "" {
			d.addFault(at, name+" has an empty key", "remove the key")
		}
	}
}

// workspaceText returns the name of a workspace for faults, of bounded length.
func workspaceText(name mustardramp.WorkspaceName) string {
	return "workspace " + strconv.Quote(string(name[:min(len(name), MaxWorkspaceName)]))
}

// isHeaderValue reports whether a header passes the text on unchanged: it holds no
// control characters and neither starts nor ends with a space.
func isHeaderValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] == 0x7f {
			return false
		}
	}
	return strings.Trim(s, " ") == s
}
