package mustardramp

// RecordKind names what flows among hosts.
type RecordKind uint8

// The kinds of records, in the order in which they are sent.
const (
	// RecordChange is a committed change of contracts; Epoch is its index.
	RecordChange RecordKind = iota
	// RecordBackend is a backend's announcement.
	RecordBackend
	// RecordHost is a host's own statement: its place, addresses and revision.
	RecordHost
	// RecordPressure is a host's summary of its queues.
	RecordPressure
	// RecordEvidence is a host's summary of outcomes by backend.
	RecordEvidence
	// RecordKindCount is the number of kinds.
	RecordKindCount
)

// String returns the kind's name.
func (k RecordKind) String() string {
	if k >= RecordKindCount {
		return "unknown"
	}
	return [...]string{"change", "backend", "host", "pressure", "evidence"}[k]
}

// Version orders the records of one key. It only moves forward.
type Version struct {
	Epoch    uint64 `json:"epoch" cbor:"1,keyasint"`
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
}

// After reports whether v is newer than w.
func (v Version) After(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch > w.Epoch
	}
	return v.Sequence > w.Sequence
}

// Record is one statement that hosts pass on. Two records of equal kind, key
// and version have equal payloads, so merging commutes.
type Record struct {
	Kind    RecordKind `json:"kind" cbor:"1,keyasint"`
	Key     string     `json:"key" cbor:"2,keyasint"`
	Version Version    `json:"version" cbor:"3,keyasint"`
	Payload []byte     `json:"payload" cbor:"4,keyasint"`
}

// Exchange spreads records to all hosts.
type Exchange interface {
	// Offer merges a record made at this host and passes it on.
	Offer(record Record)
	// Watch calls fn for each record of the kind that replaced an older one,
	// one at a time, starting with those already held.
	Watch(kind RecordKind, fn func(Record))
}
