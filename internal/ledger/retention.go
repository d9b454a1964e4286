package ledger

import (
	"container/heap"
	"time"

	"github.com/mustardramp/mustardramp"
)

// expiry is a moment at which an entry may have to be forgotten.
type expiry struct {
	at Millis
	id mustardramp.ClaimID
}

// expiries is a heap, soonest first. Entries that changed since stand in it
// more than once; the entry itself decides.
type expiries []expiry

func (x expiries) Len() int           { return len(x) }
func (x expiries) Less(i, k int) bool { return x[i].at < x[k].at }
func (x expiries) Swap(i, k int)      { x[i], x[k] = x[k], x[i] }

// Push implements heap.Interface.
func (x *expiries) Push(v any) {
	*x = append(*x, v.(expiry))
}

// Pop implements heap.Interface.
func (x *expiries) Pop() any {
	last := len(*x) - 1
	v := (*x)[last]
	*x = (*x)[:last]
	return v
}

// touch notes a change of an entry.
func (s *State) touch(e *entry) {
	e.Changed = s.now
	if e.canExpire() {
		heap.Push(&s.expiries, expiry{e.expiry(), e.ID})
	}
}

// expire forgets the entries whose span is over.
func (s *State) expire() {
	for len(s.expiries) > 0 && s.expiries[0].at <= s.now {
		x := heap.Pop(&s.expiries).(expiry)
		e := s.entries[x.id]
		if e != nil && e.canExpire() && e.expiry() <= s.now {
			delete(s.entries, x.id)
		}
	}
	s.sweep()
}

// holderKeep is for how long a host that is not heard of is remembered. A host
// that is forgotten counts as dead.
const holderKeep = 7 * 24 * time.Hour

// sweepEvery is the least time between two sweeps.
const sweepEvery = time.Hour

// sweep forgets entry hosts that have not been heard of for long.
func (s *State) sweep() {
	if s.now < s.swept+Millis(sweepEvery.Milliseconds()) {
		return
	}
	s.swept = s.now
	for host, known := range s.holders {
		if known.Heard < s.now-Millis(holderKeep.Milliseconds()) {
			delete(s.holders, host)
		}
	}
}
