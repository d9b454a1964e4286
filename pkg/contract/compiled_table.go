package contract

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Settings of the services that only a routing table describes.
const (
	// tableBudget is the maximum number of further attempts, in percent of the
	// first attempts, unless a setting of the host overrides it.
	tableBudget mustardramp.Percent = 10
	// tableCaution is the accepted number of false ejections per backend and
	// day. Keepers avoid backends that are unhealthy for seconds, so ejection
	// only has to find those that stay unhealthy.
	tableCaution = 1e-6
	// tableRamp is the time in which a started backend reaches its full share of
	// requests. Started backends of the platform are slow for about 3 seconds.
	tableRamp = 2 * time.Second
	// defaultTries is the maximum number of backends that a request is sent to
	// if its route does not set it.
	defaultTries = 3
)

// compiledTable finds the routes of a routing table. It is immutable.
type compiledTable struct {
	version TableVersion
	limits  TableLimits
	// hosts maps a host in lower case to its routes, longest prefix first.
	hosts map[string][]*Route
	// workspaces holds the workspaces in the order of the table. byKey maps the
	// SHA-256 of a key to the index of its workspace.
	workspaces []*Workspace
	byKey      map[keyDigest]int32
}

// parseTableContract reads a routing table into a Contract, so that tables are
// published in the same way as contracts.
func parseTableContract(file string, source []byte) (*Contract, error) {
	t, err := ParseTable(file, source)
	if err != nil {
		return nil, err
	}
	return &Contract{Service: TableName, Source: source, Table: t, lines: map[string]int{}}, nil
}

// compileTable returns the compiled table and a contract for each of its services.
func compileTable(c *Contract) (*compiledTable, []*Contract) {
	t := c.Table
	compiled := &compiledTable{version: t.Version, limits: t.Limits, hosts: map[string][]*Route{}}
	ranks := ranksByPriority(t)
	compiled.addWorkspaces(t.Workspaces, ranks)
	for i := range t.Routes {
		r := compileRoute(&t.Routes[i], ranks)
		r.Line = firstRouteLine + i
		host := strings.ToLower(t.Routes[i].Host)
		compiled.hosts[host] = append(compiled.hosts[host], r)
	}
	for _, routes := range compiled.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return compiled, serviceContracts(c, compiled)
}

// ranksByPriority maps the priorities of the routes and workspaces to ranks: the
// lowest priority value to the most valuable rank, and so on. All priorities after
// the last rank share it.
func ranksByPriority(t *Table) map[int]mustardramp.Rank {
	var priorities []int
	for i := range t.Routes {
		priorities = append(priorities, t.Routes[i].Priority)
	}
	for i := range t.Workspaces {
		if p := t.Workspaces[i].Priority; p != nil {
			priorities = append(priorities, *p)
		}
	}
	slices.Sort(priorities)
	ranks := map[int]mustardramp.Rank{}
	for i, p := range slices.Compact(priorities) {
		ranks[p] = mustardramp.Rank(min(i, int(mustardramp.RankCount)-1))
	}
	return ranks
}

// compileRoute returns the route of a routing table with its defaults filled in.
func compileRoute(t *TableRoute, ranks map[int]mustardramp.Rank) *Route {
	r := &Route{
		Path:     t.Prefix,
		Prefix:   t.Prefix,
		Name:     t.Name,
		Rank:     ranks[t.Priority],
		Retry:    t.Kind == Safe,
		Once:     t.Kind != Safe,
		Deadline: time.Duration(t.Timeout),
		Target:   time.Duration(t.Target),
		Tries:    t.Tries,
		Parts:    t.parts(),

		Anonymous: t.Anonymous != nil && *t.Anonymous,
	}
	if r.Deadline == 0 {
		r.Deadline = MaxTimeout
	}
	if r.Tries == 0 {
		r.Tries = defaultTries
	}
	return r
}

// serviceContracts returns the contracts of the services that a table lists. The
// maximum wait of a rank is the longest timeout of the service's routes whose
// requests may have that rank: that of the route, or that of a workspace.
func serviceContracts(c *Contract, compiled *compiledTable) []*Contract {
	out := make([]*Contract, 0, len(c.Table.Services))
	byName := map[mustardramp.ServiceName]*Contract{}
	for i := range c.Table.Services {
		s := &c.Table.Services[i]
		contract := defaultContract()
		contract.Pooled, contract.Ramp = true, tableRamp
		contract.Service, contract.Revision, contract.Source, contract.Budget, contract.Caution = s.Name, c.Revision, c.Source, tableBudget, tableCaution
		if s.Connections > 0 {
			contract.Connections = s.Connections
		}
		for r := range contract.Ranks {
			contract.Ranks[r].Wait = 0
		}
		byName[s.Name] = contract
		out = append(out, contract)
	}
	workspaceRanks := compiled.workspaceRanks()
	for _, routes := range compiled.hosts {
		for _, r := range routes {
			for _, p := range r.Parts {
				contract := byName[p.Service]
				for rank := range contract.Ranks {
					if mustardramp.Rank(rank) == r.Rank || workspaceRanks[rank] {
						contract.Ranks[rank].Wait = max(contract.Ranks[rank].Wait, r.Deadline)
					}
				}
			}
		}
	}
	return out
}

// Version returns the version of the routing table in force, or 0 if there is none.
func (s *Set) Version() TableVersion {
	if s == nil || s.table == nil {
		return 0
	}
	return s.table.version
}

// HasTable reports whether a routing table is in force.
func (s *Set) HasTable() bool {
	return s != nil && s.table != nil
}

// Route returns the route of the routing table with the longest matching prefix,
// or nil. host is the Host header without the port; path is the path of the request
// line, unmodified.
func (s *Set) Route(host, path string) *Route {
	if !s.HasTable() {
		return nil
	}
	routes, ok := s.table.hosts[host]
	if !ok {
		routes = s.table.hosts[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Rule returns the rule that refers to a route of the routing table, for refusals.
func (s *Set) Rule(r *Route) mustardramp.Rule {
	return mustardramp.Rule{Service: TableName, Revision: s.tableRevision, Line: r.Line}
}
