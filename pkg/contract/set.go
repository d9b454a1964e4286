package contract

import (
	"sort"
	"strings"

	"github.com/mustardramp/mustardramp"
)

// Set holds the contracts that are in force at the same time. It is immutable, so
// that a request can use one Set throughout. Lookups in a nil Set find nothing.
type Set struct {
	// Index is the log index of the newest change in the set.
	Index mustardramp.Index

	services  map[mustardramp.ServiceName]*Contract
	hostNames map[string]*Contract
	// table is nil if no routing table is in force.
	table         *compiledTable
	tableRevision mustardramp.Revision
}

// NewSet returns a set of contracts for which CheckSet reports no faults.
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

// addTable adds a routing table and the contracts of its services. A service that
// has a contract of its own keeps it.
func (s *Set) addTable(c *Contract) {
	s.tableRevision = c.Revision
	var services []*Contract
	s.table, services = compileTable(c)
	for _, contract := range services {
		if known := s.services[contract.Service]; known == nil {
			s.services[contract.Service] = contract
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

// Host returns the contract for a host, or nil. host is the Host header without
// the port, in any case.
func (s *Set) Host(host string) *Contract {
	if s == nil {
		return nil
	}
	if c, ok := s.hostNames[host]; ok {
		return c
	}
	return s.hostNames[strings.ToLower(host)]
}

// Contracts returns the contracts of the services, sorted by service name.
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

// Limits returns the limits of the routing table in force, or zero limits if there is
// none.
func (s *Set) Limits() TableLimits {
	if s == nil || s.table == nil {
		return TableLimits{}
	}
	return s.table.limits
}
