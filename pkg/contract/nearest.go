package contract

import (
	"cmp"
	"slices"
	"strings"
)

// NearRoute is a route that does not match a request.
type NearRoute struct {
	Host string
	// Path is the prefix of a route of the routing table, or the pattern of a route of a
	// contract.
	Path string
	// Methods is empty if the route takes all methods.
	Methods []string

	// hostDistance is the number of changed bytes between the hosts, and common the
	// length of the common beginning of the paths.
	hostDistance, common int
}

// Nearest returns up to limit routes that come closest to a request without a route:
// first those of its host, by the length of the common beginning of the paths, and then
// those of the most similar hosts. host is the Host header without the port.
func (s *Set) Nearest(host, path string, limit int) []NearRoute {
	if s == nil {
		return nil
	}
	host = strings.ToLower(host)
	var all []NearRoute
	add := func(candidate string, routes []NearRoute) {
		distance := editDistance(host, candidate)
		for _, r := range routes {
			r.Host, r.hostDistance, r.common = candidate, distance, commonLength(path, r.Path)
			all = append(all, r)
		}
	}
	if s.HasTable() {
		for name, routes := range s.table.hosts {
			var near []NearRoute
			for _, r := range routes {
				near = append(near, NearRoute{Path: r.Prefix})
			}
			add(name, near)
		}
	}
	for name, c := range s.hostNames {
		var near []NearRoute
		for i := range c.Routes {
			near = append(near, NearRoute{Path: c.Routes[i].Path, Methods: c.Routes[i].Methods})
		}
		add(name, near)
	}
	slices.SortFunc(all, func(a, b NearRoute) int {
		return cmp.Or(cmp.Compare(a.hostDistance, b.hostDistance), cmp.Compare(b.common, a.common),
			cmp.Compare(a.Host, b.Host), cmp.Compare(a.Path, b.Path), slices.Compare(a.Methods, b.Methods))
	})
	return all[:min(limit, len(all))]
}

// commonLength returns the length of the common beginning of two texts.
func commonLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// editDistance returns the least number of bytes to insert, remove or replace that turn
// one text into the other.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
