package exchange

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// bucketCount is the number of digests into which a kind's keys are divided.
const bucketCount = 64

// graveTime is for how long the version of a forgotten key is remembered.
const graveTime = time.Hour

// ref names a key of a kind by the key's hash.
type ref struct {
	kind mustardramp.RecordKind
	id   uint64
}

func refOf(r mustardramp.Record) ref {
	return ref{r.Kind, xxhash.Sum64String(r.Key)}
}

func (r ref) bucket() int {
	return int(r.id % bucketCount)
}

// store holds the newest record of each key and digests of what it holds.
type store struct {
	kinds [mustardramp.RecordKindCount]kindStore
}

type kindStore struct {
	// sums[b] is the sum of the digests of the records in buckets[b].
	sums    [bucketCount]uint64
	buckets [bucketCount]map[uint64]mustardramp.Record
	sum     uint64
	count   int
	newest  uint64
	// graves holds the versions of forgotten keys, so that hosts that forget
	// later do not bring them back.
	graves map[uint64]grave
}

type grave struct {
	version mustardramp.Version
	since   time.Time
}

// digest returns a number that differs between versions of a key.
func digest(id uint64, v mustardramp.Version) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], id)
	binary.LittleEndian.PutUint64(b[8:], v.Epoch)
	binary.LittleEndian.PutUint64(b[16:], v.Sequence)
	return xxhash.Sum64(b[:])
}

// merge keeps the record if it is newer than the one held, and reports whether
// it was.
func (s *store) merge(r mustardramp.Record) bool {
	if r.Kind >= mustardramp.RecordKindCount {
		return false
	}
	at := refOf(r)
	k, b := &s.kinds[r.Kind], at.bucket()
	if g, buried := k.graves[at.id]; buried && !r.Version.After(g.version) {
		return false
	}
	old, held := k.buckets[b][at.id]
	if held && !r.Version.After(old.Version) {
		return false
	}
	if held {
		k.add(b, -digest(at.id, old.Version))
	} else {
		k.count++
	}
	if k.buckets[b] == nil {
		k.buckets[b] = make(map[uint64]mustardramp.Record)
	}
	k.buckets[b][at.id] = r
	k.add(b, digest(at.id, r.Version))
	k.newest = max(k.newest, r.Version.Epoch)
	return true
}

func (k *kindStore) add(bucket int, digest uint64) {
	k.sums[bucket] += digest
	k.sum += digest
}

func (s *store) get(at ref) (mustardramp.Record, bool) {
	r, ok := s.kinds[at.kind].buckets[at.bucket()][at.id]
	return r, ok
}

// forget drops a key and remembers its version for a time.
func (s *store) forget(now time.Time, at ref) {
	k, b := &s.kinds[at.kind], at.bucket()
	for id, g := range k.graves {
		if now.Sub(g.since) > graveTime {
			delete(k.graves, id)
		}
	}
	r, ok := k.buckets[b][at.id]
	if !ok {
		return
	}
	k.add(b, -digest(at.id, r.Version))
	delete(k.buckets[b], at.id)
	k.count--
	if k.graves == nil {
		k.graves = make(map[uint64]grave)
	}
	k.graves[at.id] = grave{r.Version, now}
}

// version returns the version held or forgotten of a key, or the zero version.
func (s *store) version(at ref) mustardramp.Version {
	if r, ok := s.get(at); ok {
		return r.Version
	}
	return s.kinds[at.kind].graves[at.id].version
}

// list returns a kind's records, oldest version first.
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

// ids returns the hashes of the keys of a kind in the buckets of a mask, above
// a hash, in ascending order.
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
