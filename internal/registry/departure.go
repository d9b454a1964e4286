package registry

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// maxDepartures bounds the departures on record. On a day with 15,000 replaced
// backends this covers more than six hours.
const maxDepartures = 4096

// departurePrefix is the prefix of the record key of a departure. No entry has
// such a key, because the name of a service has no asterisk.
const departurePrefix = "*leaving/"

// Departure records that an incarnation of a backend takes no new work.
type Departure struct {
	// Instance is the backend's name for itself.
	Instance    string                  `cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"2,keyasint"`
	// Index is the log index of the command; Apply sets it.
	Index mustardramp.Index `cbor:"3,keyasint"`
}

// WatchDepartures sets the function that Apply and Restore call with departures.
// It must be set before the first Apply, and the function must not call the state.
func (s *State) WatchDepartures(fn func([]Departure)) {
	s.onDepartures = fn
}

func (s *State) applyDeparture(index mustardramp.Index, d Departure) Result {
	d.Index = index
	s.mu.Lock()
	isNew := s.departures[d.Instance].Index == 0 || d.Incarnation > s.departures[d.Instance].Incarnation
	if isNew {
		s.recordDeparture(d)
	}
	s.mu.Unlock()
	if isNew && s.onDepartures != nil {
		s.onDepartures([]Departure{d})
	}
	return Result{DepartureRecorded: true}
}

// recordDeparture stores a departure and drops the oldest one above
// maxDepartures, unless the same instance has a later departure on record.
func (s *State) recordDeparture(d Departure) {
	if s.departures == nil {
		s.departures = map[string]Departure{}
	}
	s.departures[d.Instance] = d
	s.departureOrder = append(s.departureOrder, d.Instance)
	if len(s.departureOrder) <= maxDepartures {
		return
	}
	oldest := s.departureOrder[0]
	s.departureOrder = s.departureOrder[1:]
	for _, later := range s.departureOrder {
		if later == oldest {
			return
		}
	}
	delete(s.departures, oldest)
}

// departuresInOrder lists the departures on record, oldest first. The caller holds
// the lock.
func (s *State) departuresInOrder() []Departure {
	out := make([]Departure, 0, len(s.departureOrder))
	for _, instance := range s.departureOrder {
		out = append(out, s.departures[instance])
	}
	return out
}

// Departures lists the departures on record, oldest first.
func (s *State) Departures() []Departure {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.departuresInOrder()
}

// HasLeft reports whether the departure of an incarnation, or of a later one, is
// on record.
func (s *State) HasLeft(instance string, incarnation mustardramp.Incarnation) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d, ok := s.departures[instance]
	return ok && d.Incarnation >= incarnation
}

// Table returns the routing table in force, or nil.
func (s *State) Table() *contract.Table {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if k := s.parsed[contract.TableName]; k != nil {
		return k.Table
	}
	return nil
}

// Record returns the record that carries a departure to all hosts.
func (d Departure) Record() (mustardramp.Record, error) {
	payload, err := cbor.Marshal(d)
	if err != nil {
		return mustardramp.Record{}, Error.Wrap(err)
	}
	return mustardramp.Record{
		Kind:    mustardramp.RecordChange,
		Key:     departurePrefix + d.Instance,
		Version: mustardramp.Version{Epoch: uint64(d.Index), Sequence: uint64(d.Incarnation)},
		Payload: payload,
	}, nil
}

// IsDeparture reports whether a change record carries a departure.
func IsDeparture(record mustardramp.Record) bool {
	return strings.HasPrefix(record.Key, departurePrefix)
}

// DecodeDeparture decodes the departure that a record carries.
func DecodeDeparture(record mustardramp.Record) (Departure, error) {
	var d Departure
	err := cbor.Unmarshal(record.Payload, &d)
	return d, Error.Wrap(err)
}
