package roster

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
)

// statement is the payload of a record: the announcement of a backend, and whether
// its lease expired.
type statement struct {
	Backend      mustardramp.Backend `cbor:"1,keyasint"`
	LeaseExpired bool                `cbor:"2,keyasint,omitempty"`
}

// The sequence of a version holds the state in its highest two bits, then the
// sequence of the announcement, then one bit for an expired lease, so that
// versions are ordered as statements are.
const (
	stateShift  = 62
	maxSequence = 1<<61 - 1
)

// version returns the version that orders the statement among those of its
// backend.
func (s statement) version() mustardramp.Version {
	sequence := uint64(s.Backend.State)<<stateShift | uint64(s.Backend.Sequence)<<1
	if s.LeaseExpired {
		sequence |= 1
	}
	return mustardramp.Version{Epoch: uint64(s.Backend.Incarnation), Sequence: sequence}
}

// hasSameContent reports whether two statements are equal apart from their
// sequence.
func (s statement) hasSameContent(other statement) bool {
	s.Backend.Sequence = other.Backend.Sequence
	return s == other
}

// record returns the record that carries the statement to other hosts.
func (s statement) record() (mustardramp.Record, error) {
	payload, err := cbor.Marshal(s)
	if err != nil {
		return mustardramp.Record{}, ErrRecord.Wrap(err)
	}
	return mustardramp.Record{
		Kind:    mustardramp.RecordBackend,
		Key:     string(s.Backend.ID),
		Version: s.version(),
		Payload: payload,
	}, nil
}

// parse decodes and checks a record of another host.
func parse(record mustardramp.Record) (statement, error) {
	var s statement
	if record.Kind != mustardramp.RecordBackend {
		return s, ErrRecord.New("record kind %d is not the kind of backend records", record.Kind)
	}
	if err := cbor.Unmarshal(record.Payload, &s); err != nil {
		return s, ErrRecord.Wrap(err)
	}
	if string(s.Backend.ID) != record.Key {
		return s, ErrRecord.New("record key %q differs from the backend id %q", record.Key, s.Backend.ID)
	}
	if err := checkBackend(s.Backend); err != nil {
		return s, err
	}
	if s.version() != record.Version {
		return s, ErrRecord.New("record version %v differs from the statement's version %v", record.Version, s.version())
	}
	return s, nil
}
