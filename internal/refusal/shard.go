package refusal

import (
	"slices"
	"unsafe"

	"github.com/mustardramp/mustardramp"
)

// maxMatches is the limit of the refusals that one lookup returns.
const maxMatches = 256

// add stores a refusal and drops the oldest ones to stay within limit. A refusal
// larger than limit is not stored.
func (s *shard) add(r mustardramp.Refusal, limit mustardramp.Bytes) {
	r = truncateFields(r)
	size := estimateSize(&r)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.size+size > limit && s.oldest < len(s.refusals) {
		s.dropOldest()
	}
	if size > limit {
		return
	}
	s.compact()
	s.refusals = append(s.refusals, r)
	s.size += size
}

// dropOldest empties the element of the oldest refusal.
func (s *shard) dropOldest() {
	s.size -= estimateSize(&s.refusals[s.oldest])
	s.refusals[s.oldest] = mustardramp.Refusal{}
	s.oldest++
}

// compact moves the refusals to the front of the slice if its capacity is used up
// and at least half of its elements are empty.
func (s *shard) compact() {
	if len(s.refusals) < cap(s.refusals) || s.oldest < len(s.refusals)/2 || s.oldest == 0 {
		return
	}
	n := copy(s.refusals, s.refusals[s.oldest:])
	clear(s.refusals[n:])
	s.refusals = s.refusals[:n]
	s.oldest = 0
}

// heldBytes returns the estimated size of the refusals held.
func (s *shard) heldBytes() mustardramp.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
}

// find returns at most limit matches, newest first.
func (s *shard) find(limit int, match func(*mustardramp.Refusal) bool) []mustardramp.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []mustardramp.Refusal
	for i := len(s.refusals) - 1; i >= s.oldest && len(out) < limit; i-- {
		if match(&s.refusals[i]) {
			out = append(out, s.refusals[i])
		}
	}
	return out
}

// Limits of the fields of a refusal that the caller chose, in bytes.
const (
	maxFieldBytes = 256
	maxPathBytes  = 1024
)

// truncateFields truncates the fields that the caller chose. It copies them, so that
// the refusal does not keep the memory of the request alive.
func truncateFields(r mustardramp.Refusal) mustardramp.Refusal {
	r.Request = truncatedCopy(r.Request, maxFieldBytes)
	r.Key = mustardramp.OperationKey(truncatedCopy(string(r.Key), maxFieldBytes))
	r.Caller = mustardramp.CallerName(truncatedCopy(string(r.Caller), maxFieldBytes))
	r.Method = truncatedCopy(r.Method, maxFieldBytes)
	r.Path = truncatedCopy(r.Path, maxPathBytes)
	return r
}

// truncatedCopy returns a copy of the first limit bytes of s.
func truncatedCopy(s string, limit int) string {
	if len(s) > limit {
		s = s[:limit]
	}
	return string(append([]byte(nil), s...))
}

// estimateSize estimates the memory of a refusal in bytes. It counts the struct
// twice, on the assumption that the unused capacity of the slice is at most as
// large as the refusals in it.
func estimateSize(r *mustardramp.Refusal) mustardramp.Bytes {
	size := int(unsafe.Sizeof(*r))*2 + len(r.ID) + len(r.Reason) + len(r.Request) +
		len(r.Key) + len(r.Caller) + len(r.Method) + len(r.Path)
	for _, f := range r.Facts {
		size += int(unsafe.Sizeof(f)) + len(f.Name) + len(f.Value)
	}
	return mustardramp.Bytes(size)
}

// sortNewestFirst sorts refusals by their time, the newest first.
func sortNewestFirst(refusals []mustardramp.Refusal) {
	slices.SortStableFunc(refusals, func(a, b mustardramp.Refusal) int { return b.At.Compare(a.At) })
}
