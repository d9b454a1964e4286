package quorum

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp/internal/journal"
)

// ErrFolder is the class of errors for a folder that does not hold a state of
// this group and host.
var ErrFolder = errs.Class("group folder")

// maxElements bounds the entries of one encoded list.
const maxElements = 1 << 24

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
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

// identity is the first record of a folder.
type identity struct {
	Group  GroupName `cbor:"1,keyasint"`
	Member Member    `cbor:"2,keyasint"`
}

// record is one record of the journal; exactly one field is set. Entries
// replace those of their indexes and all later ones.
type record struct {
	Identity *identity  `cbor:"1,keyasint,omitempty"`
	State    *hardState `cbor:"2,keyasint,omitempty"`
	Entries  []Entry    `cbor:"3,keyasint,omitempty"`
}

func encodeRecords(list []record) ([][]byte, error) {
	encoded := make([][]byte, 0, len(list))
	for _, r := range list {
		data, err := encode(r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

func (b batch) mustSync() bool {
	return len(b.records) > 0 || b.snapshot != nil
}

// write syncs the batch.
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

// retained returns the records that stand beside a snapshot.
func (c *core) retained(id identity) []record {
	state := c.state
	list := []record{{Identity: &id}, {State: &state}}
	if after := c.log.between(c.snapshot.Index, c.log.last()); len(after) > 0 {
		list = append(list, record{Entries: after})
	}
	return list
}

// recoverCore rebuilds a core from what its folder held. The identity is nil
// when the folder was blank.
func recoverCore(found journal.Recovered, timing Timing, random *rand.Rand) (*core, *identity, error) {
	c := newCore(Member{}, timing, random)
	if found.Snapshot != nil {
		i, err := openImage(found.Snapshot)
		if err != nil {
			return nil, nil, ErrFolder.Wrap(err)
		}
		c.snapshot = i
		c.log.reset(&i.Snapshot)
		c.commit, c.handed = i.Index, i.Index
	}
	var id *identity
	for _, data := range found.Records {
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
	c.synced = mark{state: c.state, index: c.log.last()}
	return c, id, nil
}

func (c *core) replay(r record) error {
	if r.State != nil {
		c.state = *r.State
	}
	list := r.Entries
	for len(list) > 0 && list[0].Index <= c.log.base {
		list = list[1:]
	}
	if len(list) > 0 && list[0].Index > c.log.last()+1 {
		return ErrFolder.New("entry %d follows entry %d", list[0].Index, c.log.last())
	}
	c.log.append(list...)
	return nil
}
