package mustardramp

// RecordKind classifies the records that hosts exchange.
type RecordKind uint8

// The kinds of records, in the order in which they are sent.
const (
	// RecordChange is a committed change of contracts. The Epoch of its version
	// is its log index.
	RecordChange RecordKind = iota
	// RecordBackend is a backend's announcement.
	RecordBackend
	// RecordHost is a host's description of itself, such as its place and its
	// addresses, or its report that it cannot reach another host.
	RecordHost
	// RecordPressure is a host's summary of its queues.
	RecordPressure
	// RecordEvidence is a host's summary of results by backend.
	RecordEvidence
	// RecordKindCount is the number of kinds.
	RecordKindCount
)

// String returns the name of the kind, such as "backend", or "unknown".
func (k RecordKind) String() string {
	if k >= RecordKindCount {
		return "unknown"
	}
	return [...]string{"change", "backend", "host", "pressure", "evidence"}[k]
}

// Version orders the records of a key, by Epoch, then by Sequence. The version of
// a key only increases.
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

// Record is a piece of fleet state that hosts exchange. Two records of equal
// kind, key and version have equal payloads, so that merging is commutative.
type Record struct {
	Kind    RecordKind `json:"kind" cbor:"1,keyasint"`
	Key     string     `json:"key" cbor:"2,keyasint"`
	Version Version    `json:"version" cbor:"3,keyasint"`
	Payload []byte     `json:"payload" cbor:"4,keyasint"`
}

// Exchange distributes records to all hosts.
type Exchange interface {
	// Offer merges a record of this host and sends it to the other hosts.
	Offer(record Record)
	// Watch calls fn for each record of the kind that is new or replaces an older
	// version, starting with the records known already. Calls do not overlap.
	Watch(kind RecordKind, fn func(Record))
}
