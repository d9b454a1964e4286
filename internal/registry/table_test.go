package registry

import (
	"fmt"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

func tableCommand(t *testing.T, version contract.TableVersion, service mustardramp.ServiceName) Command {
	t.Helper()
	table := contract.Table{
		Version:  version,
		Routes:   []contract.TableRoute{{Name: "reads", Host: "one.example", Prefix: "/a/", Kind: contract.Safe, Service: service}},
		Services: []contract.TableService{{Name: "patha"}, {Name: "mohor"}},
	}
	source, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	id := mustardramp.ChangeID(fmt.Sprint("change-", version, "-", service))
	return Command{Change: id, Files: []File{{Name: "table.json", Source: source}}}
}

func applyTable(t *testing.T, s *State, index mustardramp.Index, c Command) Result {
	t.Helper()
	encoded, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	result, err := DecodeResult(s.Apply(index, encoded))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestHighestTableIsInForce guards against an older routing table replacing a
// newer one: tables arrive out of order. A table that is no newer changes nothing,
// even with other content, and is no fault; a faulty table is refused under any
// version.
func TestHighestTableIsInForce(t *testing.T) {
	var s State
	steps := []struct {
		version contract.TableVersion
		service mustardramp.ServiceName
		fault   bool
		inForce contract.TableVersion
		want    mustardramp.ServiceName
	}{
		{version: 4, service: "patha", want: "patha"},
		{version: 9, service: "mohor", want: "mohor"},
		{version: 6, service: "patha", inForce: 9, want: "mohor"},
		{version: 9, service: "patha", inForce: 9, want: "mohor"},
		{version: 3, service: "gone", fault: true, want: "mohor"},
		{version: 12, service: "gone", fault: true, want: "mohor"},
		{version: 10, service: "patha", want: "patha"},
	}
	for i, step := range steps {
		c := tableCommand(t, step.version, step.service)
		c.Change = mustardramp.ChangeID(fmt.Sprint(i))
		got := applyTable(t, &s, mustardramp.Index(i+1), c)
		if (len(got.Faults) > 0) != step.fault || got.TableInForce != step.inForce {
			t.Errorf("step %d: got %+v, want fault %v and table %d in force", i, got, step.fault, step.inForce)
		}
		if service := s.Table().Routes[0].Service; service != step.want {
			t.Errorf("step %d: got a route to %s, want %s", i, service, step.want)
		}
	}
}

// TestDeparturesSurviveSnapshot guards against departures that are lost or not reported
// again when a state is restored.
func TestDeparturesSurviveSnapshot(t *testing.T) {
	var s State
	var notified []Departure
	s.WatchDepartures(func(d []Departure) { notified = append(notified, d...) })
	applyTable(t, &s, 1, tableCommand(t, 4, "patha"))
	for i := range 3 {
		d := Departure{Instance: fmt.Sprint("i-", i%2), Incarnation: mustardramp.Incarnation(10 + i)}
		if got := applyTable(t, &s, mustardramp.Index(2+i), Command{Departure: &d}); !got.DepartureRecorded {
			t.Errorf("got %+v, want the departure recorded", got)
		}
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	var restoredNotified []Departure
	restored.WatchDepartures(func(d []Departure) { restoredNotified = append(restoredNotified, d...) })
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if len(notified) != 3 || len(restoredNotified) != 3 {
		t.Errorf("got %d and %d departures reported, want 3 each", len(notified), len(restoredNotified))
	}
	for instance, want := range map[string]mustardramp.Incarnation{"i-0": 12, "i-1": 11} {
		if !restored.HasLeft(instance, want) || restored.HasLeft(instance, want+1) {
			t.Errorf("%s: got other than %d left", instance, want)
		}
	}
	if got := restored.Table(); got == nil || got.Version != 4 {
		t.Errorf("got table %v, want version 4", got)
	}
}
