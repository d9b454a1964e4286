package quorum

import (
	"slices"

	"github.com/mustardramp/mustardramp"
)

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty starts a leader's term.
	EntryEmpty EntryKind = iota
	// EntryCommand holds a command for the machine.
	EntryCommand
	// EntryMembership holds a membership; it is in force once appended.
	EntryMembership
)

// ProposalID names a proposal, so that the member that made it knows its
// result when the entry is applied.
type ProposalID struct {
	Member MemberID `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"`
}

// Entry is one position of the log.
type Entry struct {
	Index    mustardramp.Index `cbor:"1,keyasint"`
	Term     Term              `cbor:"2,keyasint"`
	Kind     EntryKind         `cbor:"3,keyasint"`
	Proposal ProposalID        `cbor:"4,keyasint"`
	Command  []byte            `cbor:"5,keyasint,omitempty"`
	// Membership is set when Kind is EntryMembership.
	Membership Membership `cbor:"6,keyasint,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      mustardramp.Index `cbor:"1,keyasint"`
	Term       Term              `cbor:"2,keyasint"`
	Membership Membership        `cbor:"3,keyasint"`
	State      []byte            `cbor:"4,keyasint"`
}

// entries is the log in memory: a base and what follows it.
type entries struct {
	// base and baseTerm are the position before the first entry.
	base     mustardramp.Index
	baseTerm Term
	// list holds consecutive indexes from base+1.
	list []Entry
	// memberships holds, by ascending index, those that are in force from an
	// index on. The first stands for the base and may be empty.
	memberships []membershipAt
}

type membershipAt struct {
	index      mustardramp.Index
	membership Membership
}

func (l *entries) last() mustardramp.Index {
	return l.base + mustardramp.Index(len(l.list))
}

// term returns the term at an index, or false when the log does not hold it.
func (l *entries) term(index mustardramp.Index) (Term, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.list[index-l.base-1].Term, true
}

func (l *entries) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// between returns the entries after one index up to another.
func (l *entries) between(after, upTo mustardramp.Index) []Entry {
	return l.list[after-l.base : upTo-l.base]
}

// append adds entries, in place of any of their indexes and later ones.
func (l *entries) append(list ...Entry) {
	if len(list) == 0 {
		return
	}
	before := list[0].Index - 1
	if before < l.last() {
		// Slices of the list may still be read: what they hold is not replaced.
		l.list = slices.Clip(l.list[:before-l.base])
	}
	l.list = append(l.list, list...)
	for l.newest().index > before {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	for _, entry := range list {
		if entry.Kind == EntryMembership {
			l.memberships = append(l.memberships, membershipAt{entry.Index, entry.Membership})
		}
	}
}

func (l *entries) newest() membershipAt {
	if len(l.memberships) == 0 {
		return membershipAt{}
	}
	return l.memberships[len(l.memberships)-1]
}

// membershipAt returns the membership in force at an index.
func (l *entries) membershipAt(index mustardramp.Index) Membership {
	var found Membership
	for _, m := range l.memberships {
		if m.index <= index {
			found = m.membership
		}
	}
	return found
}

// drop forgets the entries up to an index.
func (l *entries) drop(upTo mustardramp.Index) {
	if upTo <= l.base {
		return
	}
	term, _ := l.term(upTo)
	first := membershipAt{upTo, l.membershipAt(upTo)}
	kept := []membershipAt{first}
	for _, m := range l.memberships {
		if m.index > upTo {
			kept = append(kept, m)
		}
	}
	l.list = append([]Entry(nil), l.between(upTo, l.last())...)
	l.base, l.baseTerm, l.memberships = upTo, term, kept
}

// reset replaces the log by a snapshot's position.
func (l *entries) reset(s *Snapshot) {
	*l = entries{
		base:        s.Index,
		baseTerm:    s.Term,
		memberships: []membershipAt{{s.Index, s.Membership}},
	}
}
