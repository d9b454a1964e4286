package registry

import (
	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// InForce lists the entries in force, sorted by service name.
func (s *State) InForce() []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := s.services()
	entries := make([]Entry, len(names))
	for i, name := range names {
		entries[i] = s.newest(name)
	}
	return entries
}

// Entry returns a revision of a service. Revision 0 stands for the one in force.
func (s *State) Entry(service mustardramp.ServiceName, revision mustardramp.Revision) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision == 0 {
		e := s.newest(service)
		return e, e.Revision > 0
	}
	for _, e := range s.history[service] {
		if e.Revision == revision {
			return e, true
		}
	}
	return Entry{}, false
}

// Changes lists up to limit changes, newest first, whose index is lower than
// before; 0 sets no bound. An empty service stands for all services.
func (s *State) Changes(before mustardramp.Index, service mustardramp.ServiceName, limit int) []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Change
	for i := len(s.changes) - 1; i >= 0 && len(out) < limit; i-- {
		c := s.changes[i]
		if before > 0 && c.Index >= before {
			continue
		}
		if service == "" || c.includes(service) {
			out = append(out, c)
		}
	}
	return out
}

// Knows reports whether a change with that id is in the change log.
func (s *State) Knows(id mustardramp.ChangeID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.byID[id]
	return ok
}

func (c Change) includes(service mustardramp.ServiceName) bool {
	for _, s := range c.Services {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Check reports every fault in files, checked together with the contracts in
// force.
func (s *State) Check(files []File) contract.Faults {
	names, contracts, faults := parse(files)
	if len(faults) > 0 {
		return faults
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.checkSet(names, contracts)
}
