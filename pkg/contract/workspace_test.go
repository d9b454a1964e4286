package contract

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// newWorkspaceTable returns a table with an anonymous route and two workspaces.
func newWorkspaceTable() *Table {
	table := newTestTable(3, newTestRoute("one.example", "/a/"), newTestRoute("one.example", "/open/"))
	table.Routes[0].Priority, table.Routes[1].Anonymous = 4, new(true)
	table.Workspaces = []TableWorkspace{
		{Name: "large", Keys: []string{"key-a", "key-b"}, Rate: new(62.5), Burst: new(18), Priority: new(2)},
		{Name: "small", Keys: []string{"key-c"}},
	}
	return table
}

func TestWorkspaceLookup(t *testing.T) {
	set := newTestSet(t, newWorkspaceTable())
	for key, want := range map[string]*Workspace{
		"key-a": {Name: "large", Quota: mustardramp.Quota{Rate: 62.5, Burst: 18}, Rank: mustardramp.Normal, HasRank: true, KeyCount: 2},
		"key-b": {Name: "large", Quota: mustardramp.Quota{Rate: 62.5, Burst: 18}, Rank: mustardramp.Normal, HasRank: true, KeyCount: 2},
		"key-c": {Name: "small", KeyCount: 1},
		"key":   nil, "": nil, "KEY-A": nil, "key-a ": nil,
	} {
		if got := set.Workspace(key); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, want %+v", key, got, want)
		}
	}
	if !set.HasWorkspaces() || len(set.Workspaces()) != 2 || !set.Route("one.example", "/open/x").Anonymous || set.Route("one.example", "/a/x").Anonymous {
		t.Error("got other workspaces or anonymous routes than the table's two and one")
	}
	var none *Set
	if none.HasWorkspaces() || none.Workspace("") != nil || none.Workspaces() != nil || newTestSet(t, newTestTable(1)).HasWorkspaces() {
		t.Error("got workspaces, want none without a table and in a table without any")
	}
}

// TestWorkspaceRankHasWait guards against requests that a workspace's priority moves
// to a rank that no route of the service has: without a maximum wait they would never
// get a slot.
func TestWorkspaceRankHasWait(t *testing.T) {
	table := newWorkspaceTable()
	table.Routes[1].Timeout = Span(7 * time.Second)
	set := newTestSet(t, table)
	ranks := set.Service("patha").Ranks
	// The priorities 0, 2 and 4 of a route, a workspace and a route.
	want := [...]time.Duration{mustardramp.Urgent: 7 * time.Second, mustardramp.Normal: 7 * time.Second, mustardramp.Bulk: 5 * time.Second}
	for rank, wait := range want {
		if ranks[rank].Wait != wait {
			t.Errorf("rank %v: got a wait of %v, want %v", mustardramp.Rank(rank), ranks[rank].Wait, wait)
		}
	}
}

// TestWorkspacesRoundTrip guards against a field left out that is read back as 0, and
// the reverse.
func TestWorkspacesRoundTrip(t *testing.T) {
	want := newWorkspaceTable()
	want.Routes[0].Anonymous = new(false)
	want.Workspaces = append(want.Workspaces,
		TableWorkspace{Name: "zeros", Keys: []string{}, Rate: new(0.0), Burst: new(0), Priority: new(0)},
		TableWorkspace{Name: "fraction", Keys: []string{"<&\u2028\">", strings.Repeat("k", 20000)}, Rate: new(0.1)})
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
}

// TestTableOfEarlierVersion guards against data folders of an earlier version whose
// routing table is not read any more, or changes its text and lines.
func TestTableOfEarlierVersion(t *testing.T) {
	const source = `{"table":12,
"routes":[
{"name":"reads","host":"one.example","prefix":"/a/","kind":"safe","timeout":"5s","target":"2s","tries":2,"priority":0,"service":"patha"},
{"name":"both","host":"one.example","prefix":"/b/","kind":"unsafe","timeout":"5s","priority":3,"split":[{"service":"patha","weight":90},{"service":"mohor","weight":10}]}],
"services":[
{"name":"patha","health":"/health","connections":390,"protocol":"h1"},
{"name":"mohor","tls":true}],
"limits":{"header":16384,"body":67108864,"headertime":"3s","idle":"15s"}}
`
	table, err := ParseTable("table.json", []byte(source))
	if err != nil {
		t.Fatal(err)
	}
	got, err := table.Encode()
	if err != nil || string(got) != source {
		t.Errorf("got %s, %v, want %s", got, err, source)
	}
}

func TestWorkspaceFaults(t *testing.T) {
	tests := map[string]struct {
		change func(w []TableWorkspace)
		want   string
	}{
		"valid":                   {func([]TableWorkspace) {}, ""},
		"key twice in one":        {func(w []TableWorkspace) { w[0].Keys = []string{"key-a", "key-a"} }, ""},
		"no keys":                 {func(w []TableWorkspace) { w[1].Keys = nil }, ""},
		"key of another":          {func(w []TableWorkspace) { w[1].Keys = []string{"key-b"} }, `workspace "small" has a key of workspace "large"`},
		"same name":               {func(w []TableWorkspace) { w[1].Name = "large" }, "stands twice"},
		"empty name":              {func(w []TableWorkspace) { w[1].Name = "" }, "no name"},
		"empty key":               {func(w []TableWorkspace) { w[1].Keys = []string{"key-c", ""} }, "empty key"},
		"negative rate":           {func(w []TableWorkspace) { w[1].Rate = new(-0.5) }, "negative rate"},
		"negative burst":          {func(w []TableWorkspace) { w[1].Burst = new(-1) }, "negative burst"},
		"negative priority":       {func(w []TableWorkspace) { w[1].Priority = new(-1) }, "negative priority"},
		"name with a line break":  {func(w []TableWorkspace) { w[1].Name = "a\r\nb" }, "header"},
		"name that ends in space": {func(w []TableWorkspace) { w[1].Name = "a " }, "header"},
		"long name":               {func(w []TableWorkspace) { w[1].Name = mustardramp.WorkspaceName(strings.Repeat("n", 257)) }, "256 bytes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newWorkspaceTable()
			test.change(table.Workspaces)
			faults := table.Check("table.json")
			if got := faults.Error(); test.want == "" && got != "" || !strings.Contains(got, test.want) || strings.Contains(got, "key-") {
				t.Errorf("got faults %q, want %q and no key", got, test.want)
			}
			if len(faults) == 0 {
				return
			}
			source, err := table.Encode()
			if err != nil {
				t.Fatal(err)
			}
			line := strings.Split(string(source), "\n")[faults[0].Line-1]
			if !strings.HasPrefix(line, `{"name":`) || strings.Contains(line, `"prefix"`) || faults[0].Line != table.firstWorkspaceLine()+1 {
				t.Errorf("got line %d (%s), want that of the second workspace", faults[0].Line, line)
			}
		})
	}
}

// TestParseErrorsHoldNoKeys guards against the text of a decoding error, which is
// logged, that quotes the lines with keys.
func TestParseErrorsHoldNoKeys(t *testing.T) {
	for name, source := range map[string]string{
		"YAML syntax":   "table: 1\nworkspaces:\n  - {name: a, keys: [secret-1}\n",
		"YAML tabs":     "table: 1\nworkspaces:\n  - name: a\n\tkeys: [secret-1]\n",
		"JSON syntax":   `{"table":1,"workspaces":[{"name":"a","keys":["secret-1"]`,
		"key as number": `{"table":1,"workspaces":[{"name":"a","keys":["secret-1",7]}]}`,
		"keys as text":  `{"table":1,"workspaces":[{"name":"a","keys":"secret-1"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("table.yaml", []byte(source))
			if err == nil || strings.Contains(err.Error(), "secret") {
				t.Errorf("got error %v, want one without the key", err)
			}
		})
	}
}

// BenchmarkWorkspaces measures the memory that 140,000 compiled workspaces take beside
// the table, the size of its text and the time of a lookup. Run it with
//
//	go test -run xxx -bench Workspaces ./pkg/contract
func BenchmarkWorkspaces(b *testing.B) {
	const count = 140000
	table := newTestTable(1, newTestRoute("one.example", "/a/"))
	for i := range count {
		table.Workspaces = append(table.Workspaces, TableWorkspace{
			Name: mustardramp.WorkspaceName(fmt.Sprint("workspace-", i)), Keys: []string{fmt.Sprintf("%032x", i*2654435761)}, Rate: new(40.0), Burst: new(8),
		})
	}
	source, err := table.Encode()
	if err != nil {
		b.Fatal(err)
	}
	c := &Contract{Service: TableName, Table: table}
	set := NewSet(1, []*Contract{c})
	key := table.Workspaces[count/2].Keys[0]
	for b.Loop() {
		if set.Workspace(key) == nil {
			b.Fatal("got no workspace, want one")
		}
	}
	b.ReportMetric(float64(len(source))/count, "text-bytes/workspace")
}
