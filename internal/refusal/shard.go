package refusal

import (
	"slices"
	"unsafe"

	"github.com/mustardramp/mustardramp"
)

// maxFound bounds the answers of one look-up.
const maxFound = 256

func (s *shard) add(r mustardramp.Refusal, limit mustardramp.Bytes) {
	r = clip(r)
	size := sizeOf(&r)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.size+size > limit && s.first < len(s.refusals) {
		s.forgetOldest()
	}
	if size > limit {
		return
	}
	s.compact()
	s.refusals = append(s.refusals, r)
	s.size += size
}

func (s *shard) forgetOldest() {
	s.size -= sizeOf(&s.refusals[s.first])
	s.refusals[s.first] = mustardramp.Refusal{}
	s.first++
}

// compact moves the refusals to the front when no space is left behind them
// and at least half of the space is free.
func (s *shard) compact() {
	if len(s.refusals) < cap(s.refusals) || s.first < len(s.refusals)/2 || s.first == 0 {
		return
	}
	n := copy(s.refusals, s.refusals[s.first:])
	clear(s.refusals[n:])
	s.refusals = s.refusals[:n]
	s.first = 0
}

func (s *shard) held() mustardramp.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
}

// find returns at most limit matches, newest first.
func (s *shard) find(limit int, match func(*mustardramp.Refusal) bool) []mustardramp.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []mustardramp.Refusal
	for i := len(s.refusals) - 1; i >= s.first && len(out) < limit; i-- {
		if match(&s.refusals[i]) {
			out = append(out, s.refusals[i])
		}
	}
	return out
}

// Limits of what one refusal keeps of the caller's words, in bytes.
const (
	maxWord = 256
	maxPath = 1024
)

// clip cuts what the caller chose, and copies it out of the request's memory.
func clip(r mustardramp.Refusal) mustardramp.Refusal {
	r.Request = clone(r.Request, maxWord)
	r.Key = mustardramp.OperationKey(clone(string(r.Key), maxWord))
	r.Caller = mustardramp.CallerName(clone(string(r.Caller), maxWord))
	r.Method = clone(r.Method, maxWord)
	r.Path = clone(r.Path, maxPath)
	return r
}

func clone(s string, limit int) string {
	if len(s) > limit {
		s = s[:limit]
	}
	return string(append([]byte(nil), s...))
}

// sizeOf estimates the memory of a refusal. Space that the slice holds in
// reserve is at most as much again as the refusals themselves.
func sizeOf(r *mustardramp.Refusal) mustardramp.Bytes {
	size := int(unsafe.Sizeof(*r))*2 + len(r.ID) + len(r.Reason) + len(r.Request) +
		len(r.Key) + len(r.Caller) + len(r.Method) + len(r.Path)
	for _, f := range r.Facts {
		size += int(unsafe.Sizeof(f)) + len(f.Name) + len(f.Value)
	}
	return mustardramp.Bytes(size)
}

func sortNewest(refusals []mustardramp.Refusal) {
	slices.SortStableFunc(refusals, func(a, b mustardramp.Refusal) int { return b.At.Compare(a.At) })
}
