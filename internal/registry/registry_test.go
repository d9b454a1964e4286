package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/registry"
)

func source(service string, floor int) []byte {
	return fmt.Appendf(nil, "service: %s\nfloor: %d\nroutes:\n- {path: /a, methods: [GET]}\n", service, floor)
}

func file(service string, floor int, base mustardramp.Revision) registry.File {
	return registry.File{Name: service + ".yaml", Source: source(service, floor), Base: base}
}

type harness struct {
	t     *testing.T
	state registry.State
	index mustardramp.Index
}

func (h *harness) publish(id string, files ...registry.File) registry.Result {
	h.t.Helper()
	command, err := registry.Command{Change: mustardramp.ChangeID(id), Who: "w", Why: "y", Files: files}.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	result, err := registry.DecodeResult(h.state.Apply(h.index, command))
	if err != nil {
		h.t.Fatal(err)
	}
	return result
}

func (h *harness) mustPublish(id string, files ...registry.File) *registry.Change {
	h.t.Helper()
	result := h.publish(id, files...)
	if result.Change == nil {
		h.t.Fatalf("got %+v, want an accepted change", result)
	}
	return result.Change
}

func TestSecondChangeFromSameBaseConflicts(t *testing.T) {
	h := &harness{t: t}
	h.mustPublish("one", file("a", 50, 0))
	h.mustPublish("first", file("a", 60, 1))
	result := h.publish("second", file("a", 70, 1))
	if result.Conflict == nil {
		t.Fatalf("got %+v, want a conflict", result)
	}
	if got, want := result.Conflict.Revision, mustardramp.Revision(2); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	for _, want := range []string{"-floor: 60", "+floor: 70"} {
		if got := result.Conflict.Difference; !strings.Contains(got, want) {
			t.Errorf("got difference %q, want it to hold %q", got, want)
		}
	}
	if e, _ := h.state.Entry("a", 0); string(e.Source) != string(source("a", 60)) {
		t.Errorf("got %q in force, want the first change's text", e.Source)
	}
}

func TestResentChangeReturnsTheFirstResult(t *testing.T) {
	h := &harness{t: t}
	first := h.mustPublish("one", file("a", 50, 0))
	h.mustPublish("two", file("a", 60, 1))
	snapshot, err := h.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &harness{t: t, index: h.index}
	if err := restored.state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, subject := range map[string]*harness{"live": h, "restored": restored} {
		t.Run(name, func(t *testing.T) {
			again := subject.mustPublish("one", file("a", 50, 0))
			if got, want := again.Index, first.Index; got != want {
				t.Errorf("got index %d, want %d", got, want)
			}
			if e, _ := subject.state.Entry("a", 0); e.Revision != 2 {
				t.Errorf("got revision %d, want 2", e.Revision)
			}
			if got := subject.publish("one", file("a", 99, 2)); got.Reused == nil {
				t.Errorf("got %+v, want the id reported as used", got)
			}
		})
	}
}

func TestChangeOfSeveralFilesIsAtomic(t *testing.T) {
	tests := map[string]registry.File{
		"conflict":           file("b", 50, 7),
		"fault":              file("b", 500, 0),
		"same service twice": file("a", 55, 0),
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			h := &harness{t: t}
			if got := h.publish("one", file("a", 50, 0), second); got.Change != nil {
				t.Fatalf("got %+v, want a refusal", got)
			}
			if got := len(h.state.InForce()); got != 0 {
				t.Errorf("got %d contracts in force, want 0", got)
			}
		})
	}
}

func TestHostNameOfAnotherServiceIsRefused(t *testing.T) {
	h := &harness{t: t}
	h.mustPublish("one", file("a", 50, 0))
	conflicting := registry.File{Name: "b.yaml", Source: []byte("service: b\nhosts: [a]\nroutes:\n- {path: /a, methods: [GET]}\n")}
	if got := h.publish("two", conflicting); len(got.Faults) == 0 {
		t.Errorf("got %+v, want faults", got)
	}
}

// TestViewConverges guards against a view that returns to an older revision or
// misses the newest one: all entries arrive twice, in random order.
func TestViewConverges(t *testing.T) {
	h := &harness{t: t}
	var records []mustardramp.Record
	h.state.Watch(func(entries []registry.Entry) {
		for _, e := range entries {
			record, err := e.Record()
			if err != nil {
				t.Error(err)
			}
			records = append(records, record)
		}
	})
	for i := range 30 {
		base := mustardramp.Revision(i)
		if i%3 == 0 {
			h.mustPublish(fmt.Sprint(i), file("a", i, base), file("b", i, base))
			continue
		}
		h.mustPublish(fmt.Sprint(i), file("a", i, base))
		h.mustPublish(fmt.Sprint(i, "b"), file("b", i, base))
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var view registry.View
		last := map[mustardramp.ServiceName]mustardramp.Revision{}
		for _, i := range append(random.Perm(len(records)), random.Perm(len(records))...) {
			set, err := view.Merge(records[i])
			if err != nil {
				t.Fatal(err)
			}
			for _, k := range set.Contracts() {
				if k.Revision < last[k.Service] {
					t.Fatalf("seed %d: service %s went back from %d to %d", seed, k.Service, last[k.Service], k.Revision)
				}
				last[k.Service] = k.Revision
			}
		}
		for service, got := range last {
			if want := mustardramp.Revision(30); got != want {
				t.Errorf("seed %d: got revision %d of %s, want %d", seed, got, service, want)
			}
		}
	}
}

func TestEntriesOfOneChangeTakeEffectTogether(t *testing.T) {
	h := &harness{t: t}
	var records []mustardramp.Record
	h.state.Watch(func(entries []registry.Entry) {
		for _, e := range entries {
			record, _ := e.Record()
			records = append(records, record)
		}
	})
	h.mustPublish("one", file("a", 50, 0), file("b", 50, 0))
	var view registry.View
	if set, err := view.Merge(records[0]); set != nil || err != nil {
		t.Fatalf("got %v, %v after half a change, want nothing in force", set, err)
	}
	set, err := view.Merge(records[1])
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(set.Contracts()), 2; got != want {
		t.Errorf("got %d contracts, want %d", got, want)
	}
}

func FuzzApply(f *testing.F) {
	command, _ := registry.Command{Change: "c", Files: []registry.File{file("a", 50, 0)}}.Encode()
	f.Add(command)
	f.Fuzz(func(t *testing.T, command []byte) {
		var s registry.State
		if _, err := registry.DecodeResult(s.Apply(1, command)); err != nil {
			t.Errorf("got %v, want a result", err)
		}
	})
}

// localLog is an in-memory log of one member.
type localLog struct{ state *registry.State }

func (l localLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.state.Apply(1, command), nil
}

func (localLog) Confirm(context.Context) error { return nil }

func TestHomeRegionDoesNotChange(t *testing.T) {
	contractFile := func(home string, base mustardramp.Revision) registry.File {
		source := "service: a\nroutes:\n- {path: /a, methods: [GET]}\n"
		if home != "" {
			source = "home: " + home + "\n" + source
		}
		return registry.File{Name: "a.yaml", Source: []byte(source), Base: base}
	}
	tests := map[string]struct {
		from, to string
		want     bool
	}{
		"same":    {"kolkata", "kolkata", true},
		"first":   {"", "kolkata", true},
		"moved":   {"kolkata", "siliguri", false},
		"removed": {"kolkata", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &harness{t: t}
			h.mustPublish("one", contractFile(test.from, 0))
			if got := h.publish("two", contractFile(test.to, 1)); (got.Change != nil) != test.want {
				t.Errorf("got %+v, want accepted %v", got, test.want)
			}
		})
	}
}

func TestHomeRegionMustHaveLedger(t *testing.T) {
	contractFile := func(home string) registry.File {
		return registry.File{Name: "a.yaml", Source: []byte("service: a\nhome: " + home + "\nroutes:\n- {path: /a, methods: [POST], once: true, key: K}\n")}
	}
	tests := map[string]struct {
		home string
		want bool
	}{
		"known":   {"kolkata", true},
		"unknown": {"austland", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := &registry.State{}
			server := registry.Server{State: state, Log: localLog{state}, Homes: []mustardramp.Region{"kolkata", "siliguri"}}
			result, err := server.Publish(t.Context(), registry.Command{Change: "c", Files: []registry.File{contractFile(test.home)}})
			if err != nil {
				t.Fatal(err)
			}
			if got := result.Change != nil; got != test.want {
				t.Errorf("got accepted %v (%v), want %v", got, result.Faults, test.want)
			}
		})
	}
}
