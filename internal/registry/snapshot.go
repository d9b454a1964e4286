package registry

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// snapshotForm is the encoded form of a State.
type snapshotForm struct {
	History map[mustardramp.ServiceName][]Entry `cbor:"1,keyasint"`
	Changes []Change                            `cbor:"2,keyasint"`
	Dropped int                                 `cbor:"3,keyasint"`
	// Leavings are in the order of their indexes.
	Leavings []Leaving `cbor:"4,keyasint,omitempty"`
}

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b, err := cbor.Marshal(snapshotForm{History: s.history, Changes: s.changes, Dropped: s.dropped, Leavings: s.departed()})
	return b, Error.Wrap(err)
}

// Restore replaces the state by a snapshot's and tells the watcher of all
// entries in force.
func (s *State) Restore(snapshot []byte) error {
	var form snapshotForm
	if err := cbor.Unmarshal(snapshot, &form); err != nil {
		return Error.Wrap(err)
	}
	fresh := &State{}
	fresh.init()
	for service, h := range form.History {
		if len(h) == 0 {
			return Error.New("snapshot holds service %q without a revision", service)
		}
		newest := h[len(h)-1]
		k, err := contract.Parse(newest.File, newest.Source)
		if err != nil {
			return Error.New("snapshot holds a contract with faults: %v", err)
		}
		k.Revision = newest.Revision
		fresh.history[service] = h
		fresh.parsed[service] = k
	}
	fresh.dropped = form.Dropped
	for _, c := range form.Changes {
		fresh.byID[c.ID] = fresh.dropped + len(fresh.changes)
		fresh.changes = append(fresh.changes, c)
	}
	for _, l := range form.Leavings {
		fresh.keepLeaving(l)
	}
	s.mu.Lock()
	s.history, s.changes, s.byID = fresh.history, fresh.changes, fresh.byID
	s.dropped, s.parsed = fresh.dropped, fresh.parsed
	s.leavings, s.leftOrder = fresh.leavings, fresh.leftOrder
	s.mu.Unlock()
	if s.watch != nil {
		s.watch(s.InForce())
	}
	if s.left != nil {
		s.left(form.Leavings)
	}
	return nil
}
