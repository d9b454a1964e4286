package contract

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mustardramp/mustardramp"
	_ "github.com/mustardramp/mustardramp/internal/rapidseed"
)

func newTestTable(version TableVersion, routes ...TableRoute) *Table {
	return &Table{
		Version:  version,
		Routes:   routes,
		Services: []TableService{{Name: "patha", Connections: 390}, {Name: "mohor", Connections: 390}},
		Limits:   TableLimits{Header: 16384, Idle: Span(15 * time.Second)},
	}
}

func newTestRoute(host, prefix string) TableRoute {
	return TableRoute{
		Name: host + prefix, Host: host, Prefix: prefix, Kind: Safe, Timeout: Span(5 * time.Second),
		Target: Span(2 * time.Second), Tries: 2, Service: "patha",
	}
}

func newTestSet(t testing.TB, table *Table) *Set {
	t.Helper()
	source, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse("table.json", source)
	if err != nil {
		t.Fatal(err)
	}
	c.Revision = 3
	return NewSet(1, []*Contract{c})
}

// TestRouteReturnsLongestPrefix compares Route with a linear search over all
// routes, for hosts in any case and for paths that are not clean.
func TestRouteReturnsLongestPrefix(t *testing.T) {
	segments := rapid.SampledFrom([]string{"a/", "b/", "ab/", "%2f/", "../", "a"})
	hosts := rapid.SampledFrom([]string{"one.example", "two.example", "ONE.example"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segments, 0, 4).Draw(t, "segments"), "")
	})
	rapid.Check(t, func(t *rapid.T) {
		var routes []TableRoute
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			host, prefix := hosts.Draw(t, "host"), path.Draw(t, "prefix")
			if !strings.HasSuffix(prefix, "/") || seen[strings.ToLower(host)+prefix] {
				continue
			}
			seen[strings.ToLower(host)+prefix] = true
			routes = append(routes, newTestRoute(host, prefix))
		}
		table := newTestTable(1, routes...)
		source, err := table.Encode()
		if err != nil {
			t.Fatal(err)
		}
		c, err := Parse("table.json", source)
		if err != nil {
			t.Fatal(err)
		}
		set := NewSet(1, []*Contract{c})
		host, requestPath := hosts.Draw(t, "asked host"), path.Draw(t, "asked path")
		want := ""
		for _, r := range routes {
			if strings.EqualFold(r.Host, host) && strings.HasPrefix(requestPath, r.Prefix) && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		got := ""
		if r := set.Route(host, requestPath); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("%s%s: got route %q, want %q", host, requestPath, got, want)
		}
	})
}

func TestTableEncodeRoundTrip(t *testing.T) {
	split := newTestRoute("two.example", "/b/")
	split.Service, split.Split = "", []Part{{"patha", 90}, {"mohor", 10}}
	want := newTestTable(12, newTestRoute("one.example", "/a/"), split)
	source, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseTable("table.json", source)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	line := strings.Split(string(source), "\n")[newTestSet(t, want).Route("two.example", "/b/x").Line-1]
	if !strings.Contains(line, `"two.example"`) {
		t.Errorf("got line %q, want the route's", line)
	}
}

func TestParseTableAcceptsYAML(t *testing.T) {
	got, err := ParseTable("routes.yaml", []byte(`table: 4
routes:
  - {name: reads, host: one.example, prefix: /a/, kind: safe, timeout: 2s, service: patha}
services: [{name: patha}]
limits: {idle: 15s}
`))
	if err != nil {
		t.Fatal(err)
	}
	if got.Version != 4 || got.Routes[0].Timeout != Span(2*time.Second) || got.Limits.Idle != Span(15*time.Second) {
		t.Errorf("got %+v, want version 4 with a timeout of 2 s and an idle time of 15 s", got)
	}
}

func TestTableCheckReportsFaults(t *testing.T) {
	tests := map[string]struct {
		change func(*Table)
		want   string
	}{
		"valid":                     {func(*Table) {}, ""},
		"target above timeout":      {func(t *Table) { t.Routes[0].Target = t.Routes[0].Timeout + Span(59*time.Second) }, ""},
		"maximum timeout":           {func(t *Table) { t.Routes[0].Timeout = Span(10 * time.Minute) }, ""},
		"no timeout":                {func(t *Table) { t.Routes[0].Timeout, t.Routes[0].Target = 0, 0 }, ""},
		"target far above timeout":  {func(t *Table) { t.Routes[0].Target = t.Routes[0].Timeout + Span(time.Minute) }, "target"},
		"timeout above maximum":     {func(t *Table) { t.Routes[0].Timeout = Span(10*time.Minute + 1) }, "timeout"},
		"unknown service":           {func(t *Table) { t.Routes[0].Service = "gone" }, "does not list"},
		"same host and prefix":      {func(t *Table) { t.Routes = append(t.Routes, t.Routes[0]) }, "has the host and prefix"},
		"same host in other case":   {func(t *Table) { r := t.Routes[0]; r.Host = "ONE.example"; t.Routes = append(t.Routes, r) }, "has the host and prefix"},
		"prefix without slash":      {func(t *Table) { t.Routes[0].Prefix = "/a" }, "slash"},
		"unknown kind":              {func(t *Table) { t.Routes[0].Kind = "maybe" }, "kind"},
		"no version":                {func(t *Table) { t.Version = 0 }, "version"},
		"neither service nor split": {func(t *Table) { t.Routes[0].Service = "" }, "no service"},
		"split without weights":     {func(t *Table) { t.Routes[0].Service = ""; t.Routes[0].Split = []Part{{"patha", 0}} }, "weight"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTestTable(1, newTestRoute("one.example", "/a/"))
			tt.change(table)
			got := table.Check("table.json").Error()
			if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
				t.Errorf("got faults %q, want %q", got, tt.want)
			}
		})
	}
}

func TestPrioritiesMapToRanks(t *testing.T) {
	var routes []TableRoute
	for i, priority := range []int{7, 0, 3, 9} {
		r := newTestRoute("one.example", "/"+string(rune('a'+i))+"/")
		r.Priority = priority
		routes = append(routes, r)
	}
	set := newTestSet(t, newTestTable(1, routes...))
	for path, want := range map[string]mustardramp.Rank{"/b/": mustardramp.Urgent, "/c/": mustardramp.Normal, "/a/": mustardramp.Bulk, "/d/": mustardramp.Bulk} {
		if got := set.Route("one.example", path).Rank; got != want {
			t.Errorf("%s: got rank %v, want %v", path, got, want)
		}
	}
}
