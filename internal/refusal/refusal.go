// Package refusal remembers the refusals that a host has made, so that an
// operator can ask why a call was refused and whether it ran.
package refusal

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// DefaultLimit is the memory of a host that sets no other.
const DefaultLimit mustardramp.Bytes = 8 << 20

const shardCount = 16

// Memory keeps the newest refusals within a bound of bytes. Its zero value
// works and holds DefaultLimit bytes.
type Memory struct {
	// Limit bounds the bytes held, over all refusals; zero stands for
	// DefaultLimit. It is not changed after the first use.
	Limit mustardramp.Bytes

	next   atomic.Uint64
	shards [shardCount]shard
}

// NewID returns the id of the next refusal of a process.
func (m *Memory) NewID(host mustardramp.HostName, incarnation mustardramp.Incarnation) mustardramp.RefusalID {
	buf := make([]byte, 0, len(host)+32)
	buf = append(buf, host...)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(incarnation), 36)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, m.next.Add(1), 36)
	return mustardramp.RefusalID(buf)
}

// HostOf returns the host that an id names, or false when it is no id.
func HostOf(id mustardramp.RefusalID) (mustardramp.HostName, bool) {
	rest, _, ok := cutLast(string(id))
	if !ok {
		return "", false
	}
	host, _, ok := cutLast(rest)
	return mustardramp.HostName(host), ok && host != ""
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// Add remembers a refusal. The oldest ones leave when the bound is reached.
func (m *Memory) Add(r mustardramp.Refusal) {
	limit := m.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	m.shards[shardOf(r.ID)].add(r, limit/shardCount)
}

// ByID returns the refusal with an id.
func (m *Memory) ByID(id mustardramp.RefusalID) (mustardramp.Refusal, bool) {
	s := &m.shards[shardOf(id)]
	found := s.find(1, func(r *mustardramp.Refusal) bool { return r.ID == id })
	if len(found) == 0 {
		return mustardramp.Refusal{}, false
	}
	return found[0], true
}

// ByRequest returns the refusals of a caller's own request id, newest first.
func (m *Memory) ByRequest(request string) []mustardramp.Refusal {
	return m.find(func(r *mustardramp.Refusal) bool { return r.Request == request })
}

// ByCaller returns the refusals of a caller from one time to another, both
// included, newest first.
func (m *Memory) ByCaller(caller mustardramp.CallerName, from, to time.Time) []mustardramp.Refusal {
	return m.find(func(r *mustardramp.Refusal) bool {
		return r.Caller == caller && !r.At.Before(from) && !r.At.After(to)
	})
}

// Size returns the bytes held.
func (m *Memory) Size() mustardramp.Bytes {
	var sum mustardramp.Bytes
	for i := range m.shards {
		sum += m.shards[i].held()
	}
	return sum
}

func (m *Memory) find(match func(*mustardramp.Refusal) bool) []mustardramp.Refusal {
	var out []mustardramp.Refusal
	for i := range m.shards {
		out = append(out, m.shards[i].find(maxFound, match)...)
	}
	sortNewest(out)
	if len(out) > maxFound {
		out = out[:maxFound]
	}
	return out
}

func shardOf(id mustardramp.RefusalID) int {
	if id == "" {
		return 0
	}
	return int(id[len(id)-1]) % shardCount
}

// shard is one part of the memory with a lock of its own.
type shard struct {
	mu   sync.Mutex
	size mustardramp.Bytes
	// first is the oldest refusal's place in held; those before it are gone.
	first    int
	refusals []mustardramp.Refusal
}
