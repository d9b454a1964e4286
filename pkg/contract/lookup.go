package contract

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Budget and shares of the services that only a routing table describes.
const (
	// tableBudget is the share of further attempts where no setting says another.
	tableBudget mustardramp.Percent = 10
	// tableCaution is the accepted rate of false ejections per backend and day.
	// The keepers of slots avoid backends that are ill for seconds; ejection is
	// left to those that stay so.
	tableCaution = 1e-6
	// tableRamp is the time in which started backends of the platform come to
	// full work; they are slow for about three seconds.
	tableRamp = 2 * time.Second
	// retryTries is the number of backends that one request of a table route is
	// sent to when the route does not say.
	retryTries = 3
)

// lookup is a compiled routing table. It is never changed after it is built.
type lookup struct {
	version TableVersion
	// hosts holds the routes by host in lower case, longest prefix first.
	hosts map[string][]*Route
}

// parseTableContract reads a routing table into the form in which tables and
// contracts travel and take force alike.
func parseTableContract(file string, source []byte) (*Contract, error) {
	t, err := ParseTable(file, source)
	if err != nil {
		return nil, err
	}
	return &Contract{Service: TableName, Source: source, Table: t, lines: map[string]int{}}, nil
}

// compileTable returns the routes by host, and a contract for each service.
func compileTable(c *Contract) (*lookup, []*Contract) {
	t := c.Table
	l := &lookup{version: t.Version, hosts: map[string][]*Route{}}
	ranks := rankPriorities(t.Routes)
	for i := range t.Routes {
		r := compileRoute(&t.Routes[i], ranks)
		r.Line = firstRouteLine + i
		host := strings.ToLower(t.Routes[i].Host)
		l.hosts[host] = append(l.hosts[host], r)
	}
	for _, routes := range l.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return l, tableServices(c, l)
}

// rankPriorities maps the priorities that occur, in their order, on the ranks;
// all beyond the last rank share it.
func rankPriorities(routes []TableRoute) map[int]mustardramp.Rank {
	var priorities []int
	for i := range routes {
		priorities = append(priorities, routes[i].Priority)
	}
	slices.Sort(priorities)
	ranks := map[int]mustardramp.Rank{}
	for i, p := range slices.Compact(priorities) {
		ranks[p] = mustardramp.Rank(min(i, int(mustardramp.RankCount)-1))
	}
	return ranks
}

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
	}
	if r.Deadline == 0 {
		r.Deadline = MaxTimeout
	}
	if r.Tries == 0 {
		r.Tries = retryTries
	}
	return r
}

// tableServices makes the contracts of the services that a table lists. A rank
// waits at most as long as the longest timeout of its routes.
func tableServices(c *Contract, l *lookup) []*Contract {
	out := make([]*Contract, 0, len(c.Table.Services))
	byName := map[mustardramp.ServiceName]*Contract{}
	for i := range c.Table.Services {
		s := &c.Table.Services[i]
		k := defaults()
		k.Pooled, k.Ramp = true, tableRamp
		k.Service, k.Revision, k.Source, k.Budget, k.Caution = s.Name, c.Revision, c.Source, tableBudget, tableCaution
		if s.Connections > 0 {
			k.Connections = s.Connections
		}
		for r := range k.Ranks {
			k.Ranks[r].Wait = 0
		}
		byName[s.Name] = k
		out = append(out, k)
	}
	for _, routes := range l.hosts {
		for _, r := range routes {
			for _, p := range r.Parts {
				terms := &byName[p.Service].Ranks[r.Rank]
				terms.Wait = max(terms.Wait, r.Deadline)
			}
		}
	}
	return out
}

// Version returns the version of the routing table in force, or 0.
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

// Route returns the route of the routing table for a Host header without its
// port and a path as it stands in the request line, or nil.
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

// Rule returns the rule of a route of the routing table.
func (s *Set) Rule(r *Route) mustardramp.Rule {
	return mustardramp.Rule{Service: TableName, Revision: s.tableRevision, Line: r.Line}
}
