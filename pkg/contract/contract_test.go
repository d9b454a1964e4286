package contract_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/mustardramp/mustardramp/pkg/contract"
)

func exampleFiles(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) != 6 {
		t.Fatalf("got %d example files (%v), want 6", len(files), err)
	}
	return files
}

func TestExamplesHaveNoFaults(t *testing.T) {
	var contracts []*contract.Contract
	files := exampleFiles(t)
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		c, err := contract.Parse(file, source)
		if err != nil {
			t.Fatalf("got faults, want none: %v", err)
		}
		contracts = append(contracts, c)
	}
	if faults := contract.CheckSet(files, contracts); len(faults) > 0 {
		t.Errorf("got faults, want none: %v", faults)
	}
}

const sourceHead = "service: mohor\nhome: kolkata\nroutes:\n"

func TestParseReportsFaults(t *testing.T) {
	tests := map[string]struct {
		source string
		want   []string
	}{
		"unknown field": {
			source: "service: mohor\ncolour: red\nroutes:\n- {path: /a, methods: [GET]}\n",
			want:   []string{`f:2:1: unknown field "colour"`},
		},
		"floor over 100": {
			source: "service: mohor\nfloor: 120\nroutes:\n- {path: /a, methods: [GET]}\n",
			want:   []string{"f:2:1: floor is 120: use a number from 0 to 100"},
		},
		"unknown rank": {
			source: sourceHead + "- path: /a\n  methods: [GET]\n  rank: gold\n",
			want:   []string{`f:6:3: unknown rank "gold"`},
		},
		"unknown rank in ranks": {
			source: "service: mohor\nranks:\n  gold: {share: 5}\nroutes:\n- {path: /a, methods: [GET]}\n",
			want:   []string{`f:3:3: unknown rank "gold"`},
		},
		"once and retry": {
			source: sourceHead + "- path: /a\n  methods: [POST]\n  once: true\n  retry: true\n",
			want:   []string{"f:4:1: a once-only route is marked for retry"},
		},
		"key without once": {
			source: sourceHead + "- path: /a\n  methods: [POST]\n  key: Idempotency-Key\n",
			want:   []string{"f:4:1: a key stands on a route that is not once-only"},
		},
		"key without home": {
			source: "service: mohor\nroutes:\n- path: /a\n  methods: [POST]\n  once: true\n  key: Idempotency-Key\n",
			want:   []string{"f:3:1: a keyed route needs a home region"},
		},
		"shadowed route": {
			source: sourceHead + "- path: /a/{x}\n  methods: [GET]\n- path: /a/{y}\n  methods: [GET, PUT]\n",
			want:   []string{"f:6:1: route GET /a/{y} is shadowed by the route on line 4"},
		},
		"overlapping routes": {
			source: sourceHead + "- path: /a/{x}\n  methods: [GET]\n- path: /{y}/b\n  methods: [GET]\n",
			want:   []string{"f:6:1: route GET /{y}/b overlaps with the route on line 4"},
		},
		"shares over 100": {
			source: "service: mohor\nranks:\n  urgent: {share: 60}\n  normal: {share: 60}\nroutes:\n- {path: /a, methods: [GET]}\n",
			want:   []string{"f:2:1: the shares of the ranks sum to 130 %"},
		},
		"several faults": {
			source: "service: Mohor\nslots: 0\nkeep: soon\n",
			want:   []string{"f:1:1: no routes", "f:1:1: service", "f:2:1: slots is 0", "f:3:1: keep is not a duration"},
		},
		"invalid YAML":            {source: "service: [", want: []string{"not valid YAML"}},
		"empty file":              {source: "", want: []string{"the file is empty"}},
		"list instead of mapping": {source: "- a\n", want: []string{"the file is not a mapping"}},
		"repeated field":          {source: "service: a\nservice: b\nroutes: []\n", want: []string{"f:"}},
		"relative path":           {source: sourceHead + "- {path: a, methods: [GET]}\n", want: []string{"does not start with /"}},
		"dot segment":             {source: sourceHead + "- {path: /a/../b, methods: [GET]}\n", want: []string{"a dot segment"}},
		"rest parameter inside":   {source: sourceHead + "- {path: '/{a...}/b', methods: [GET]}\n", want: []string{"a rest parameter before its end"}},
		"lower-case method":       {source: sourceHead + "- {path: /a, methods: [get]}\n", want: []string{`method "get" is not one of HTTP`}},
		"no methods":              {source: sourceHead + "- {path: /a}\n", want: []string{"the route has no methods"}},
		"invalid header name":     {source: "service: a\nshed: 'X Shed'\nroutes:\n- {path: /a, methods: [GET]}\n", want: []string{"is not a header name"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := contract.Parse("f", []byte(test.source))
			var faults contract.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want faults", err)
			}
			for _, want := range test.want {
				if got := faults.Error(); !strings.Contains(got, want) {
					t.Errorf("got %q, want it to hold %q", got, want)
				}
			}
		})
	}
}

func TestCheckSetReportsDuplicates(t *testing.T) {
	parse := func(source string) *contract.Contract {
		c, err := contract.Parse("f", []byte(source))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	route := "routes:\n- {path: /a, methods: [GET]}\n"
	a := parse("service: a\n" + route)
	b := parse("service: b\nhosts: [a]\n" + route)
	tests := map[string]struct {
		set  []*contract.Contract
		want string
	}{
		"same service": {set: []*contract.Contract{a, a}, want: `service "a" is described in 0 too`},
		"same host":    {set: []*contract.Contract{a, b}, want: `host "a" leads to service a too`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := contract.CheckSet([]string{"0", "1"}, test.set).Error()
			if !strings.Contains(got, test.want) {
				t.Errorf("got %q, want it to hold %q", got, test.want)
			}
		})
	}
}

func TestMatchReturnsMostSpecificRoute(t *testing.T) {
	source := sourceHead + `
- {path: /a, methods: [GET]}
- {path: "/a/{x}", methods: [GET]}
- {path: /a/b, methods: [GET]}
- {path: "/a/{x}/c", methods: [GET]}
- {path: "/f/{rest...}", methods: [GET]}
- {path: /a/b, methods: [POST]}
- {path: /, methods: [GET]}
`
	c, err := contract.Parse("f", []byte(source))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		method, path, want string
	}{
		"literal segment":           {"GET", "/a", "/a"},
		"parameter segment":         {"GET", "/a/z", "/a/{x}"},
		"literal before parameter":  {"GET", "/a/b", "/a/b"},
		"backtracking to parameter": {"GET", "/a/b/c", "/a/{x}/c"},
		"rest parameter":            {"GET", "/f/1/2/3", "/f/{rest...}"},
		"empty rest parameter":      {"GET", "/f/", "/f/{rest...}"},
		"same path, other method":   {"POST", "/a/b", "/a/b"},
		"method without route":      {"POST", "/a/z", ""},
		"root path":                 {"GET", "/", "/"},
		"trailing slash":            {"GET", "/a/", ""},
		"path without slash":        {"GET", "a", ""},
		"unknown path":              {"GET", "/b", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := c.Match(test.method, test.path); r != nil {
				got = r.Path
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, file := range exampleFiles(f) {
		source, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(source)
	}
	f.Add([]byte("service: a\nroutes:\n- &x {path: /a, methods: [GET]}\n- *x\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		c, err := contract.Parse("f", source)
		if err == nil {
			c.Match("GET", "/a/b")
			return
		}
		var faults contract.Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Errorf("got %v, want faults", err)
		}
	})
}
