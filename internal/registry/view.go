package registry

import (
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Record returns the record that carries an entry to all hosts.
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

// View assembles the contracts in force at a host from entries that arrive in any
// order. The entries of one change take effect together, and an older entry never
// replaces a newer one. Its zero value is empty and ready to use.
type View struct {
	// inForce and pending hold at most one entry for each service. A pending
	// entry is newer than the one in force.
	inForce map[mustardramp.ServiceName]Entry
	pending map[mustardramp.ServiceName]Entry
	// parsed holds the contracts of the entries in force.
	parsed map[mustardramp.ServiceName]*contract.Contract
	// index is the highest index of an entry that was put in force.
	index mustardramp.Index
}

// Merge adds the entry that a record carries. It returns the new set of contracts
// in force, or nil if the set did not change.
func (v *View) Merge(record mustardramp.Record) (*contract.Set, error) {
	var e Entry
	if err := cbor.Unmarshal(record.Payload, &e); err != nil {
		return nil, Error.New("change record %q: %v", record.Key, err)
	}
	if v.inForce == nil {
		v.inForce = map[mustardramp.ServiceName]Entry{}
		v.pending = map[mustardramp.ServiceName]Entry{}
		v.parsed = map[mustardramp.ServiceName]*contract.Contract{}
	}
	if e.Index <= v.inForce[e.Service].Index || e.Index <= v.pending[e.Service].Index {
		return nil, nil
	}
	v.pending[e.Service] = e
	return v.installComplete()
}

// installComplete puts the pending entries of every complete change in force.
func (v *View) installComplete() (*contract.Set, error) {
	changed := false
	for progress := true; progress; {
		progress = false
		for _, e := range v.pending {
			if !v.isComplete(e) {
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

// isComplete reports whether, for each service of the entry's change, an entry of
// that change or of a newer one has arrived.
func (v *View) isComplete(e Entry) bool {
	for _, service := range e.With {
		known := max(v.inForce[service].Index, v.pending[service].Index)
		if known < e.Index {
			return false
		}
	}
	return true
}

// install puts an entry and the other entries of its change in force.
func (v *View) install(e Entry) error {
	for _, service := range append([]mustardramp.ServiceName{e.Service}, e.With...) {
		w, ok := v.pending[service]
		if !ok || w.Index != e.Index {
			continue
		}
		k, err := contract.Parse(w.File, w.Source)
		if err != nil {
			delete(v.pending, service)
			return Error.New("change %d holds a contract of service %q with faults: %v", w.Index, service, err)
		}
		k.Revision = w.Revision
		delete(v.pending, service)
		v.inForce[service] = w
		v.parsed[service] = k
		v.index = max(v.index, w.Index)
	}
	return nil
}

// Set returns the contracts in force in the order of their changes, oldest first.
// If a host name moved between two services and only one of the two changes has
// arrived, the order gives the host name to the newer contract.
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

// Entry returns the entry of a service in force.
func (v *View) Entry(service mustardramp.ServiceName) (Entry, bool) {
	e, ok := v.inForce[service]
	return e, ok
}
