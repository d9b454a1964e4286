package contract

import (
	"sort"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// Set is the contracts in force at one time. It is never changed after it is
// built, so that a request may hold on to it.
type Set struct {
	// Index is the log index of the newest change in the set.
	Index     mustardramp.Index
	services  map[mustardramp.ServiceName]*Contract
	hostNames map[string]*Contract
	// table is nil while no routing table is in force.
	table         *lookup
	tableRevision mustardramp.Revision
}

// NewSet builds a set from contracts that CheckSet found free of faults.
func NewSet(index mustardramp.Index, contracts []*Contract) *Set {
	s := &Set{
		Index:     index,
		services:  make(map[mustardramp.ServiceName]*Contract, len(contracts)),
		hostNames: make(map[string]*Contract, len(contracts)),
	}
	for _, c := range contracts {
		if c.Table != nil {
			s.addTable(c)
			continue
		}
		s.services[c.Service] = c
		for _, h := range c.Hosts {
			s.hostNames[h] = c
		}
	}
	return s
}

// addTable takes in a routing table. A service that has a contract of its own
// keeps it.
func (s *Set) addTable(c *Contract) {
	s.tableRevision = c.Revision
	var services []*Contract
	s.table, services = compileTable(c)
	for _, k := range services {
		if known := s.services[k.Service]; known == nil {
			s.services[k.Service] = k
		}
	}
}

// Service returns the contract of a service, or nil.
func (s *Set) Service(name mustardramp.ServiceName) *Contract {
	if s == nil {
		return nil
	}
	return s.services[name]
}

// Host returns the contract for a Host header without its port, or nil.
func (s *Set) Host(host string) *Contract {
	if s == nil {
		return nil
	}
	if c, ok := s.hostNames[host]; ok {
		return c
	}
	return s.hostNames[strings.ToLower(host)]
}

// Contracts lists the set by service name.
func (s *Set) Contracts() []*Contract {
	if s == nil {
		return nil
	}
	out := make([]*Contract, 0, len(s.services))
	for _, c := range s.services {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}
