package registry

import (
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Record returns the record that spreads an entry to all hosts.
func (e Entry) Record() (mustardramp.Record, error) {
	payload, err := cbor.Marshal(e)
	if err != nil {
		return mustardramp.Record{}, Error.Wrap(err)
	}
	return mustardramp.Record{
		Kind:    mustardramp.RecordChange,
		Key:     string(e.Service),
		Version: mustardramp.Version{Epoch: uint64(e.Index), Sequence: uint64(e.Revision)},
		Payload: payload,
	}, nil
}

// View assembles the contracts in force at a host from the entries that reach
// it in any order. The entries of one change take force together, and an older
// entry never replaces a newer one. Its zero value is empty and works.
type View struct {
	// inForce and waiting hold at most one entry a service; a waiting entry
	// is newer than the one in force.
	inForce map[mustardramp.ServiceName]Entry
	waiting map[mustardramp.ServiceName]Entry
	parsed  map[mustardramp.ServiceName]*contract.Contract
	index   mustardramp.Index
}

// Merge takes in a record. It returns the new set, or nil when nothing takes
// force.
func (v *View) Merge(record mustardramp.Record) (*contract.Set, error) {
	var e Entry
	if err := cbor.Unmarshal(record.Payload, &e); err != nil {
		return nil, Error.New("change record %q: %v", record.Key, err)
	}
	if v.inForce == nil {
		v.inForce = map[mustardramp.ServiceName]Entry{}
		v.waiting = map[mustardramp.ServiceName]Entry{}
		v.parsed = map[mustardramp.ServiceName]*contract.Contract{}
	}
	if e.Index <= v.inForce[e.Service].Index || e.Index <= v.waiting[e.Service].Index {
		return nil, nil
	}
	v.waiting[e.Service] = e
	return v.settle()
}

// settle puts every complete group of waiting entries in force.
func (v *View) settle() (*contract.Set, error) {
	changed := false
	for progress := true; progress; {
		progress = false
		for _, e := range v.waiting {
			if !v.complete(e) {
				continue
			}
			if err := v.install(e); err != nil {
				return nil, err
			}
			progress, changed = true, true
			break
		}
	}
	if !changed {
		return nil, nil
	}
	return v.Set(), nil
}

// complete reports whether each service of the entry's change is known at the
// change's index or a newer one.
func (v *View) complete(e Entry) bool {
	for _, service := range e.With {
		known := max(v.inForce[service].Index, v.waiting[service].Index)
		if known < e.Index {
			return false
		}
	}
	return true
}

// install puts the entry and those of its change in force.
func (v *View) install(e Entry) error {
	for _, service := range append([]mustardramp.ServiceName{e.Service}, e.With...) {
		w, ok := v.waiting[service]
		if !ok || w.Index != e.Index {
			continue
		}
		k, err := contract.Parse(w.File, w.Source)
		if err != nil {
			delete(v.waiting, service)
			return Error.New("change %d holds a contract with faults: %v", w.Index, err)
		}
		k.Revision = w.Revision
		delete(v.waiting, service)
		v.inForce[service] = w
		v.parsed[service] = k
		v.index = max(v.index, w.Index)
	}
	return nil
}

// Set returns the contracts in force, oldest change first: when a host name
// moved between services and only one of the two changes has arrived, the newer
// one has it.
func (v *View) Set() *contract.Set {
	contracts := make([]*contract.Contract, 0, len(v.parsed))
	for _, k := range v.parsed {
		contracts = append(contracts, k)
	}
	sort.Slice(contracts, func(i, j int) bool {
		a, b := v.inForce[contracts[i].Service], v.inForce[contracts[j].Service]
		if a.Index != b.Index {
			return a.Index < b.Index
		}
		return a.Service < b.Service
	})
	return contract.NewSet(v.index, contracts)
}

// Entry returns a service's entry in force.
func (v *View) Entry(service mustardramp.ServiceName) (Entry, bool) {
	e, ok := v.inForce[service]
	return e, ok
}
