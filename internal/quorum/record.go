package quorum

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp/internal/journal"
)

// ErrFolder is the class of errors for a folder that does not hold a valid state
// of this group and host.
var ErrFolder = errs.Class("group folder")

// maxArrayElements limits the number of elements in a decoded array.
const maxArrayElements = 1 << 24

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode[T any](value T) ([]byte, error) {
	return cbor.Marshal(value)
}

func decode[T any](data []byte, value *T) error {
	return decoder.Unmarshal(data, value)
}

// identity names the group and the member that a folder belongs to. It is the
// first record of the folder.
type identity struct {
	Group  GroupName `cbor:"1,keyasint"`
	Member Member    `cbor:"2,keyasint"`
}

// record is one record of the journal. Exactly one field is set. Entries replace
// all earlier entries at the index of the first one or later.
type record struct {
	Identity *identity  `cbor:"1,keyasint,omitempty"`
	State    *hardState `cbor:"2,keyasint,omitempty"`
	Entries  []Entry    `cbor:"3,keyasint,omitempty"`
}

func encodeRecords(records []record) ([][]byte, error) {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := encode(r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// needsSync reports whether the batch has anything to write to disk.
func (b batch) needsSync() bool {
	return len(b.records) > 0 || b.snapshot != nil
}

// write writes the batch to the journal and syncs it.
func (b batch) write(j *journal.Journal) error {
	if b.snapshot == nil {
		records, err := encodeRecords(b.records)
		if err != nil {
			return err
		}
		return j.Append(records...)
	}
	records, err := encodeRecords(b.retained)
	if err != nil {
		return err
	}
	return j.Compact(b.snapshot.encoded, records...)
}

// retainedRecords returns the records that are written with a snapshot: the
// identity, the hard state and the entries after the snapshot.
func (c *core) retainedRecords(id identity) []record {
	state := c.hardState
	list := []record{{Identity: &id}, {State: &state}}
	if after := c.log.between(c.snapshot.Index, c.log.lastIndex()); len(after) > 0 {
		list = append(list, record{Entries: after})
	}
	return list
}

// recoverCore rebuilds a core from the content of its folder. The identity is nil
// if the folder was blank.
func recoverCore(recovered journal.Recovered, timing Timing, random *rand.Rand) (*core, *identity, error) {
	c := newCore(Member{}, timing, random)
	if recovered.Snapshot != nil {
		snapshot, err := decodeSnapshot(recovered.Snapshot)
		if err != nil {
			return nil, nil, ErrFolder.Wrap(err)
		}
		c.snapshot = snapshot
		c.log.reset(&snapshot.Snapshot)
		c.commitIndex, c.dispatched = snapshot.Index, snapshot.Index
	}
	var id *identity
	for _, data := range recovered.Records {
		var r record
		if err := decode(data, &r); err != nil {
			return nil, nil, ErrFolder.Wrap(err)
		}
		if r.Identity != nil {
			id = r.Identity
			c.self = id.Member
		}
		if err := c.replay(r); err != nil {
			return nil, nil, err
		}
	}
	c.synced = syncPoint{hardState: c.hardState, index: c.log.lastIndex()}
	return c, id, nil
}

// replay applies a record of the journal. Entries that a snapshot already
// contains are skipped.
func (c *core) replay(r record) error {
	if r.State != nil {
		c.hardState = *r.State
	}
	entries := r.Entries
	for len(entries) > 0 && entries[0].Index <= c.log.baseIndex {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index > c.log.lastIndex()+1 {
		return ErrFolder.New("gap in the log: entry %d follows entry %d", entries[0].Index, c.log.lastIndex())
	}
	c.log.append(entries...)
	return nil
}
