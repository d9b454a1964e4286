package ledger

import (
	"container/heap"

	"github.com/mustardramp/mustardramp"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Entries   []*entry                        `cbor:"1,keyasint"`
	Holders   map[mustardramp.HostName]holder `cbor:"2,keyasint"`
	Clocks    map[mustardramp.HostName]Millis `cbor:"3,keyasint"`
	Now       Millis                          `cbor:"4,keyasint"`
	LastSweep Millis                          `cbor:"5,keyasint"`
}

// Snapshot implements mustardramp.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snap := snapshot{Holders: s.holders, Clocks: s.clocks, Now: s.now, LastSweep: s.lastSweep}
	for _, e := range s.entries {
		snap.Entries = append(snap.Entries, e)
	}
	return encode(snap)
}

// Restore implements mustardramp.StateMachine.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := decode(data, &snap); err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = make(map[mustardramp.ClaimID]*entry, len(snap.Entries))
	s.holders, s.clocks, s.now, s.lastSweep = snap.Holders, snap.Clocks, snap.Now, snap.LastSweep
	s.expiries = nil
	for _, e := range snap.Entries {
		s.entries[e.ID] = e
		if e.canExpire() {
			s.expiries = append(s.expiries, expiry{e.expiry(), e.ID})
		}
	}
	heap.Init(&s.expiries)
	return nil
}
