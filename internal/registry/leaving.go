package registry

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// keptLeavings bounds the leavings that are remembered: an hour of a day with
// 15,000 replaced backends, several times over.
const keptLeavings = 4096

// leavingPrefix starts the key of a leaving's record. No service has a name
// with an asterisk, so that no entry has such a key.
const leavingPrefix = "*leaving/"

// Leaving is a backend's word, on record, that one of its incarnations takes no
// new work.
type Leaving struct {
	// Instance is the backend's own name.
	Instance    string                  `cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"2,keyasint"`
	// Index is set when the leaving is applied.
	Index mustardramp.Index `cbor:"3,keyasint"`
}

// WatchLeavings sets the function that is told of leavings. It is set before
// the first Apply and must not call the state.
func (s *State) WatchLeavings(fn func([]Leaving)) {
	s.left = fn
}

func (s *State) applyLeaving(index mustardramp.Index, l Leaving) Result {
	l.Index = index
	s.mu.Lock()
	news := s.leavings[l.Instance].Index == 0 || l.Incarnation > s.leavings[l.Instance].Incarnation
	if news {
		s.keepLeaving(l)
	}
	s.mu.Unlock()
	if news && s.left != nil {
		s.left([]Leaving{l})
	}
	return Result{Left: true}
}

func (s *State) keepLeaving(l Leaving) {
	if s.leavings == nil {
		s.leavings = map[string]Leaving{}
	}
	s.leavings[l.Instance] = l
	s.leftOrder = append(s.leftOrder, l.Instance)
	if len(s.leftOrder) <= keptLeavings {
		return
	}
	oldest := s.leftOrder[0]
	s.leftOrder = s.leftOrder[1:]
	for _, later := range s.leftOrder {
		if later == oldest {
			return
		}
	}
	delete(s.leavings, oldest)
}

// departed lists the leavings, oldest first. The lock is held.
func (s *State) departed() []Leaving {
	out := make([]Leaving, 0, len(s.leftOrder))
	for _, instance := range s.leftOrder {
		out = append(out, s.leavings[instance])
	}
	return out
}

// Leavings lists the leavings on record, oldest first.
func (s *State) Leavings() []Leaving {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.departed()
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

// Record returns the record that spreads a leaving to all hosts.
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

// IsLeaving reports whether a change record is a leaving's.
func IsLeaving(record mustardramp.Record) bool {
	return strings.HasPrefix(record.Key, leavingPrefix)
}

// DecodeLeaving reads a leaving from its record.
func DecodeLeaving(record mustardramp.Record) (Leaving, error) {
	var l Leaving
	err := cbor.Unmarshal(record.Payload, &l)
	return l, Error.Wrap(err)
}
