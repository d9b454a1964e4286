package exchange

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// bucketCount is the number of buckets into which a kind's keys are divided. Each
// has a digest of its own.
const bucketCount = 64

// tombstoneTTL is the time for which the version of a forgotten key is remembered.
const tombstoneTTL = time.Hour

// recordRef identifies a record by its kind and the hash of its key.
type recordRef struct {
	kind mustardramp.RecordKind
	id   uint64
}

func refOf(r mustardramp.Record) recordRef {
	return recordRef{r.Kind, xxhash.Sum64String(r.Key)}
}

func (r recordRef) bucket() int {
	return int(r.id % bucketCount)
}

// store holds the newest record of each key, and digests of these records.
type store struct {
	kinds [mustardramp.RecordKindCount]kindStore
}

type kindStore struct {
	// bucketDigests[b] is the sum of the digests of the records in buckets[b],
	// and totalDigest the sum over all buckets.
	bucketDigests [bucketCount]uint64
	buckets       [bucketCount]map[uint64]mustardramp.Record
	totalDigest   uint64
	count         int
	newest        uint64
	// tombstones holds the versions of forgotten keys, so that hosts that forget
	// them later do not bring them back.
	tombstones map[uint64]tombstone
}

type tombstone struct {
	version     mustardramp.Version
	forgottenAt time.Time
}

// digest returns a hash of a key and its version.
func digest(id uint64, v mustardramp.Version) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], id)
	binary.LittleEndian.PutUint64(b[8:], v.Epoch)
	binary.LittleEndian.PutUint64(b[16:], v.Sequence)
	return xxhash.Sum64(b[:])
}

// merge stores the record if it is newer than the one held or forgotten, and
// reports whether it was.
func (s *store) merge(r mustardramp.Record) bool {
	if r.Kind >= mustardramp.RecordKindCount {
		return false
	}
	ref := refOf(r)
	k, b := &s.kinds[r.Kind], ref.bucket()
	if t, forgotten := k.tombstones[ref.id]; forgotten && !r.Version.After(t.version) {
		return false
	}
	old, held := k.buckets[b][ref.id]
	if held && !r.Version.After(old.Version) {
		return false
	}
	if held {
		k.add(b, -digest(ref.id, old.Version))
	} else {
		k.count++
	}
	if k.buckets[b] == nil {
		k.buckets[b] = make(map[uint64]mustardramp.Record)
	}
	k.buckets[b][ref.id] = r
	k.add(b, digest(ref.id, r.Version))
	k.newest = max(k.newest, r.Version.Epoch)
	return true
}

func (k *kindStore) add(bucket int, digest uint64) {
	k.bucketDigests[bucket] += digest
	k.totalDigest += digest
}

func (s *store) get(ref recordRef) (mustardramp.Record, bool) {
	r, ok := s.kinds[ref.kind].buckets[ref.bucket()][ref.id]
	return r, ok
}

// forget drops a key and remembers its version for tombstoneTTL.
func (s *store) forget(now time.Time, ref recordRef) {
	k, b := &s.kinds[ref.kind], ref.bucket()
	for id, t := range k.tombstones {
		if now.Sub(t.forgottenAt) > tombstoneTTL {
			delete(k.tombstones, id)
		}
	}
	r, ok := k.buckets[b][ref.id]
	if !ok {
		return
	}
	k.add(b, -digest(ref.id, r.Version))
	delete(k.buckets[b], ref.id)
	k.count--
	if k.tombstones == nil {
		k.tombstones = make(map[uint64]tombstone)
	}
	k.tombstones[ref.id] = tombstone{r.Version, now}
}

// version returns the version of a key that is held or was forgotten, or the zero
// version.
func (s *store) version(ref recordRef) mustardramp.Version {
	if r, ok := s.get(ref); ok {
		return r.Version
	}
	return s.kinds[ref.kind].tombstones[ref.id].version
}

// list returns the records of a kind, oldest version first.
func (s *store) list(kind mustardramp.RecordKind) []mustardramp.Record {
	var out []mustardramp.Record
	for _, b := range s.kinds[kind].buckets {
		for _, r := range b {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

// compareRecords orders records by kind, version and key.
func compareRecords(a, b mustardramp.Record) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Version.Epoch, b.Version.Epoch),
		cmp.Compare(a.Version.Sequence, b.Version.Sequence),
		cmp.Compare(a.Key, b.Key),
	)
}

// ids returns the hashes of the keys of a kind in the buckets of a mask, in
// ascending order. It leaves out hashes up to after, unless fromStart is set.
func (s *store) ids(kind mustardramp.RecordKind, mask, after uint64, fromStart bool) []uint64 {
	var out []uint64
	for b, records := range s.kinds[kind].buckets {
		if mask&(1<<b) == 0 {
			continue
		}
		for id := range records {
			if fromStart || id > after {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out
}
