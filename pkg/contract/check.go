package contract

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// checkContract reports faults in combinations of fields that are valid on their own.
func (d *document) checkContract(c *Contract, at map[string]position) {
	if len(c.Hosts) == 0 {
		c.Hosts = []string{string(c.Service)}
	}
	d.checkShares(c, at["ranks"])
	for i := range c.Routes {
		d.checkRoute(c, &c.Routes[i])
		d.checkOverlap(c.Routes[:i], &c.Routes[i])
	}
}

// checkShares reports shares of the ranks that sum to more than 100 percent.
func (d *document) checkShares(c *Contract, at position) {
	var sum mustardramp.Percent
	for _, terms := range c.Ranks {
		sum += terms.Share
	}
	if sum > 100 {
		d.addFault(at, "the shares of the ranks sum to "+formatFloat(float64(sum))+" %", "keep them at 100 % or less")
	}
}

// checkRoute reports settings of a route that exclude each other or need another
// setting.
func (d *document) checkRoute(c *Contract, r *Route) {
	at := position{line: r.Line}
	if r.Once && r.Retry {
		d.addFault(at, "a once-only route is marked for retry", "remove retry or once")
	}
	if r.Key != "" && !r.Once {
		d.addFault(at, "a key stands on a route that is not once-only", "add once: true or remove key")
	}
	if r.Key != "" && c.Home == "" {
		d.addFault(at, "a keyed route needs a home region", "add home: with the region that keeps the keys")
	}
}

// checkOverlap reports an earlier route that matches the same requests as r, or
// that overlaps with r while neither is more specific.
func (d *document) checkOverlap(earlier []Route, r *Route) {
	for i := range earlier {
		e := &earlier[i]
		method, shared := sharedMethod(e, r)
		if !shared {
			continue
		}
		at := position{line: r.Line}
		switch comparePatterns(e.Path, r.Path) {
		case equal:
			d.addFault(at, fmt.Sprintf("route %s %s is shadowed by the route on line %d", method, r.Path, e.Line),
				"remove one of the two")
		case overlapping:
			d.addFault(at, fmt.Sprintf("route %s %s overlaps with the route on line %d and neither is more specific", method, r.Path, e.Line),
				"make one of them more specific")
		}
	}
}

// sharedMethod returns the first method of a that b has too.
func sharedMethod(a, b *Route) (string, bool) {
	for _, m := range a.Methods {
		if slices.Contains(b.Methods, m) {
			return m, true
		}
	}
	return "", false
}

// relation describes how the sets of paths that two patterns match are related.
type relation uint8

const (
	// disjoint patterns have no path in common.
	disjoint relation = iota
	// equal patterns match the same paths.
	equal
	// nested patterns differ, and one matches all paths of the other.
	nested
	// overlapping patterns have paths in common, but neither is more specific.
	overlapping
)

// comparePatterns returns the relation of the paths that two patterns match.
func comparePatterns(a, b string) relation {
	as, bs := splitPath(a), splitPath(b)
	aWider, bWider := false, false
	for i := 0; ; i++ {
		if i == len(as) && i == len(bs) {
			break
		}
		aRest := i < len(as) && kindOf(as[i]) == restSegment
		bRest := i < len(bs) && kindOf(bs[i]) == restSegment
		if aRest && bRest {
			break
		}
		if aRest {
			aWider = true
			break
		}
		if bRest {
			bWider = true
			break
		}
		if i == len(as) || i == len(bs) {
			return disjoint
		}
		aParam := kindOf(as[i]) == paramSegment
		bParam := kindOf(bs[i]) == paramSegment
		switch {
		case aParam && !bParam:
			aWider = true
		case bParam && !aParam:
			bWider = true
		case !aParam && as[i] != bs[i]:
			return disjoint
		}
	}
	switch {
	case aWider && bWider:
		return overlapping
	case aWider || bWider:
		return nested
	default:
		return equal
	}
}

// CheckSet reports faults among several contracts, such as a service that is
// described twice or a host that leads to two services. files[i] is the file name
// of contracts[i]. The result is empty if there are no faults.
func CheckSet(files []string, contracts []*Contract) Faults {
	var faults Faults
	services := map[mustardramp.ServiceName]string{}
	hosts := map[string]mustardramp.ServiceName{}
	for i, c := range contracts {
		if first, ok := services[c.Service]; ok {
			faults = append(faults, Fault{
				File: files[i], Line: c.Line("service"), Column: 1,
				Reason: "service " + strconv.Quote(string(c.Service)) + " is described in " + first + " too",
				Remedy: "keep one file for each service",
			})
			continue
		}
		services[c.Service] = files[i]
		for _, h := range c.Hosts {
			if other, ok := hosts[h]; ok && other != c.Service {
				faults = append(faults, Fault{
					File: files[i], Line: c.Line("hosts"), Column: 1,
					Reason: "host " + strconv.Quote(h) + " leads to service " + string(other) + " too",
					Remedy: "give each host to one service",
				})
				continue
			}
			hosts[h] = c.Service
		}
	}
	return faults.sorted()
}

// splitPath returns the segments of a pattern.
func splitPath(pattern string) []string {
	return strings.Split(strings.TrimPrefix(pattern, "/"), "/")
}
