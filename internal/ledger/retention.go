package ledger

import (
	"container/heap"
	"time"

	"github.com/mustardramp/mustardramp"
)

// expiry is a time at which an entry may have to be deleted.
type expiry struct {
	at Millis
	id mustardramp.ClaimID
}

// expiries is a heap with the earliest time first. An entry that has changed is
// in it more than once, so that a time counts only if it is still the entry's.
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

// touch sets the time of the last change of an entry and schedules its expiry.
func (s *State) touch(e *entry) {
	e.Changed = s.now
	if e.canExpire() {
		heap.Push(&s.expiries, expiry{e.expiry(), e.ID})
	}
}

// expire deletes the entries whose retention time is over.
func (s *State) expire() {
	for len(s.expiries) > 0 && s.expiries[0].at <= s.now {
		x := heap.Pop(&s.expiries).(expiry)
		e := s.entries[x.id]
		if e != nil && e.canExpire() && e.expiry() <= s.now {
			delete(s.entries, x.id)
		}
	}
	s.sweepHolders()
}

// holderRetention is how long an entry host is remembered after its last contact.
// A forgotten host counts as dead.
const holderRetention = 7 * 24 * time.Hour

// sweepInterval is the shortest time between two runs of sweepHolders.
const sweepInterval = time.Hour

// sweepHolders forgets the entry hosts whose last contact is older than
// holderRetention.
func (s *State) sweepHolders() {
	if s.now < s.lastSweep+Millis(sweepInterval.Milliseconds()) {
		return
	}
	s.lastSweep = s.now
	for host, known := range s.holders {
		if known.LastContact < s.now-Millis(holderRetention.Milliseconds()) {
			delete(s.holders, host)
		}
	}
}
