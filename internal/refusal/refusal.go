// Package refusal keeps the newest refusals of a host in memory, so that an operator
// can look up why a call was refused and whether it ran.
package refusal

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// DefaultLimit is the limit of a Store that sets none, in bytes.
const DefaultLimit mustardramp.Bytes = 8 << 20

// shardCount is the number of shards that a Store is split into.
const shardCount = 16

// Store keeps the newest refusals within a limit of bytes. The zero value is ready
// to use and holds DefaultLimit bytes.
type Store struct {
	// Limit is the limit of the bytes held by all refusals together; 0 means
	// DefaultLimit. It must not change after the first use.
	Limit mustardramp.Bytes

	// lastNumber is the number in the id that NewID returned last.
	lastNumber atomic.Uint64
	shards     [shardCount]shard
}

// NewID returns an id for a refusal: the host, its incarnation and a consecutive
// number, separated by dots. The numbers are in base 36.
func (s *Store) NewID(host mustardramp.HostName, incarnation mustardramp.Incarnation) mustardramp.RefusalID {
	buf := make([]byte, 0, len(host)+32)
	buf = append(buf, host...)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(incarnation), 36)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, s.lastNumber.Add(1), 36)
	return mustardramp.RefusalID(buf)
}

// HostOf returns the host in an id of NewID, or false if id has another form.
func HostOf(id mustardramp.RefusalID) (mustardramp.HostName, bool) {
	rest, _, ok := cutLast(string(id))
	if !ok {
		return "", false
	}
	host, _, ok := cutLast(rest)
	return mustardramp.HostName(host), ok && host != ""
}

// cutLast splits s at its last dot.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// Add stores a refusal. When the limit is reached, it drops the oldest ones of the
// same shard.
func (s *Store) Add(r mustardramp.Refusal) {
	limit := s.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	s.shards[shardIndex(r.ID)].add(r, limit/shardCount)
}

// ByID returns the refusal with an id.
func (s *Store) ByID(id mustardramp.RefusalID) (mustardramp.Refusal, bool) {
	shard := &s.shards[shardIndex(id)]
	found := shard.find(1, func(r *mustardramp.Refusal) bool { return r.ID == id })
	if len(found) == 0 {
		return mustardramp.Refusal{}, false
	}
	return found[0], true
}

// ByRequest returns the refusals with a request id that the caller chose, newest
// first.
func (s *Store) ByRequest(request string) []mustardramp.Refusal {
	return s.find(func(r *mustardramp.Refusal) bool { return r.Request == request })
}

// ByCaller returns the refusals of a caller between two times, both included,
// newest first.
func (s *Store) ByCaller(caller mustardramp.CallerName, from, to time.Time) []mustardramp.Refusal {
	return s.find(func(r *mustardramp.Refusal) bool {
		return r.Caller == caller && !r.At.Before(from) && !r.At.After(to)
	})
}

// Size returns the estimated bytes held by all refusals.
func (s *Store) Size() mustardramp.Bytes {
	var sum mustardramp.Bytes
	for i := range s.shards {
		sum += s.shards[i].heldBytes()
	}
	return sum
}

// find returns at most maxMatches refusals that match, newest first.
func (s *Store) find(match func(*mustardramp.Refusal) bool) []mustardramp.Refusal {
	var out []mustardramp.Refusal
	for i := range s.shards {
		out = append(out, s.shards[i].find(maxMatches, match)...)
	}
	sortNewestFirst(out)
	if len(out) > maxMatches {
		out = out[:maxMatches]
	}
	return out
}

// shardIndex returns the shard of an id. Consecutive ids have different last
// characters, so they fall into different shards.
func shardIndex(id mustardramp.RefusalID) int {
	if id == "" {
		return 0
	}
	return int(id[len(id)-1]) % shardCount
}

// shard is a part of a Store with its own lock.
type shard struct {
	mu sync.Mutex
	// size is the estimated size of the refusals held, in bytes.
	size mustardramp.Bytes
	// oldest is the index of the oldest refusal in refusals; the elements before
	// it are empty.
	oldest   int
	refusals []mustardramp.Refusal
}
