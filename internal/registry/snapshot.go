package registry

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// stateSnapshot is the encoded form of a State.
type stateSnapshot struct {
	History map[mustardramp.ServiceName][]Entry `cbor:"1,keyasint"`
	Changes []Change                            `cbor:"2,keyasint"`
	Dropped int                                 `cbor:"3,keyasint"`
	// Departures are in the order of their indexes.
	Departures []Departure `cbor:"4,keyasint,omitempty"`
}

// Snapshot implements mustardramp.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b, err := cbor.Marshal(stateSnapshot{History: s.history, Changes: s.changes, Dropped: s.dropped, Departures: s.departuresInOrder()})
	return b, Error.Wrap(err)
}

// Restore implements mustardramp.StateMachine. It calls the functions of Watch and
// WatchDepartures with all entries in force and all departures on record.
func (s *State) Restore(snapshot []byte) error {
	var decoded stateSnapshot
	if err := cbor.Unmarshal(snapshot, &decoded); err != nil {
		return Error.Wrap(err)
	}
	fresh := &State{}
	fresh.init()
	for service, h := range decoded.History {
		if len(h) == 0 {
			return Error.New("snapshot holds service %q without a revision", service)
		}
		newest := h[len(h)-1]
		k, err := contract.Parse(newest.File, newest.Source)
		if err != nil {
			return Error.New("snapshot holds a contract of service %q with faults: %v", service, err)
		}
		k.Revision = newest.Revision
		fresh.history[service] = h
		fresh.parsed[service] = k
	}
	fresh.dropped = decoded.Dropped
	for _, c := range decoded.Changes {
		fresh.byID[c.ID] = fresh.dropped + len(fresh.changes)
		fresh.changes = append(fresh.changes, c)
	}
	for _, d := range decoded.Departures {
		fresh.recordDeparture(d)
	}
	s.mu.Lock()
	s.history, s.changes, s.byID = fresh.history, fresh.changes, fresh.byID
	s.dropped, s.parsed = fresh.dropped, fresh.parsed
	s.departures, s.departureOrder = fresh.departures, fresh.departureOrder
	s.mu.Unlock()
	if s.onEntries != nil {
		s.onEntries(s.InForce())
	}
	if s.onDepartures != nil {
		s.onDepartures(decoded.Departures)
	}
	return nil
}
