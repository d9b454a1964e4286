package registry

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// maxLeavings bounds the leavings on record. It is several times the leavings of
// one hour on a day with 15,000 replaced backends.
const maxLeavings = 4096

// leavingPrefix is the prefix of the record key of a leaving. No entry has such a
// key, because the name of a service has no asterisk.
const leavingPrefix = "*leaving/"

// Leaving records that an incarnation of a backend takes no new work.
type Leaving struct {
	// Instance is the backend's name for itself.
	Instance    string                  `cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"2,keyasint"`
	// Index is the log index of the command; Apply sets it.
	Index mustardramp.Index `cbor:"3,keyasint"`
}

// WatchLeavings sets the function that Apply and Restore call with leavings. It
// must be set before the first Apply, and the function must not call the state.
func (s *State) WatchLeavings(fn func([]Leaving)) {
	s.onLeavings = fn
}

func (s *State) applyLeaving(index mustardramp.Index, l Leaving) Result {
	l.Index = index
	s.mu.Lock()
	isNew := s.leavings[l.Instance].Index == 0 || l.Incarnation > s.leavings[l.Instance].Incarnation
	if isNew {
		s.recordLeaving(l)
	}
	s.mu.Unlock()
	if isNew && s.onLeavings != nil {
		s.onLeavings([]Leaving{l})
	}
	return Result{Left: true}
}

// recordLeaving stores a leaving and drops the oldest one above maxLeavings. An
// instance that left again later stays on record.
func (s *State) recordLeaving(l Leaving) {
	if s.leavings == nil {
		s.leavings = map[string]Leaving{}
	}
	s.leavings[l.Instance] = l
	s.leavingOrder = append(s.leavingOrder, l.Instance)
	if len(s.leavingOrder) <= maxLeavings {
		return
	}
	oldest := s.leavingOrder[0]
	s.leavingOrder = s.leavingOrder[1:]
	for _, later := range s.leavingOrder {
		if later == oldest {
			return
		}
	}
	delete(s.leavings, oldest)
}

// leavingsInOrder lists the leavings on record, oldest first. The caller holds
// the lock.
func (s *State) leavingsInOrder() []Leaving {
	out := make([]Leaving, 0, len(s.leavingOrder))
	for _, instance := range s.leavingOrder {
		out = append(out, s.leavings[instance])
	}
	return out
}

// Leavings lists the leavings on record, oldest first.
func (s *State) Leavings() []Leaving {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leavingsInOrder()
}

// HasLeft reports whether the leaving of an incarnation, or of a later one, is
// on record.
func (s *State) HasLeft(instance string, incarnation mustardramp.Incarnation) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.leavings[instance]
	return ok && l.Incarnation >= incarnation
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

// Record returns the record that carries a leaving to all hosts.
func (l Leaving) Record() (mustardramp.Record, error) {
	payload, err := cbor.Marshal(l)
	if err != nil {
		return mustardramp.Record{}, Error.Wrap(err)
	}
	return mustardramp.Record{
		Kind:    mustardramp.RecordChange,
		Key:     leavingPrefix + l.Instance,
		Version: mustardramp.Version{Epoch: uint64(l.Index), Sequence: uint64(l.Incarnation)},
		Payload: payload,
	}, nil
}

// IsLeaving reports whether a change record carries a leaving.
func IsLeaving(record mustardramp.Record) bool {
	return strings.HasPrefix(record.Key, leavingPrefix)
}

// DecodeLeaving decodes the leaving that a record carries.
func DecodeLeaving(record mustardramp.Record) (Leaving, error) {
	var l Leaving
	err := cbor.Unmarshal(record.Payload, &l)
	return l, Error.Wrap(err)
}
