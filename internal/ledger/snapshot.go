package ledger

import (
	"container/heap"

	"github.com/mustardramp/mustardramp"
)

// snapshot is the encoding of a State.
type snapshot struct {
	Entries []*entry                        `cbor:"1,keyasint"`
	Holders map[mustardramp.HostName]holder `cbor:"2,keyasint"`
	Clocks  map[mustardramp.HostName]Millis `cbor:"3,keyasint"`
	Now     Millis                          `cbor:"4,keyasint"`
	Swept   Millis                          `cbor:"5,keyasint"`
}

// Snapshot implements mustardramp.Machine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	shot := snapshot{Holders: s.holders, Clocks: s.clocks, Now: s.now, Swept: s.swept}
	for _, e := range s.entries {
		shot.Entries = append(shot.Entries, e)
	}
	return encode(shot)
}

// Restore implements mustardramp.Machine.
func (s *State) Restore(data []byte) error {
	var shot snapshot
	if err := decode(data, &shot); err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = make(map[mustardramp.ClaimID]*entry, len(shot.Entries))
	s.holders, s.clocks, s.now, s.swept = shot.Holders, shot.Clocks, shot.Now, shot.Swept
	s.expiries = nil
	for _, e := range shot.Entries {
		s.entries[e.ID] = e
		if e.canExpire() {
			s.expiries = append(s.expiries, expiry{e.expiry(), e.ID})
		}
	}
	heap.Init(&s.expiries)
	return nil
}
