package quorum

import (
	"slices"

	"github.com/mustardramp/mustardramp"
)

// EntryKind is the type of content of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is the first entry of a leader's term and holds nothing.
	EntryEmpty EntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds a membership, which takes effect as soon as it is
	// appended.
	EntryMembership
)

// ProposalID identifies a proposal, so that the member that made it can match
// the result of the applied entry to it.
type ProposalID struct {
	Member MemberID `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"`
}

// Entry is one entry of the log.
type Entry struct {
	Index    mustardramp.Index `cbor:"1,keyasint"`
	Term     Term              `cbor:"2,keyasint"`
	Kind     EntryKind         `cbor:"3,keyasint"`
	Proposal ProposalID        `cbor:"4,keyasint"`
	Command  []byte            `cbor:"5,keyasint,omitempty"`
	// Membership is set when Kind is EntryMembership.
	Membership Membership `cbor:"6,keyasint,omitempty"`
}

// Snapshot holds the state after all entries up to Index and replaces them.
type Snapshot struct {
	Index      mustardramp.Index `cbor:"1,keyasint"`
	Term       Term              `cbor:"2,keyasint"`
	Membership Membership        `cbor:"3,keyasint"`
	State      []byte            `cbor:"4,keyasint"`
}

// memoryLog is the part of the log that is held in memory: the entries after a
// base position.
type memoryLog struct {
	// baseIndex and baseTerm are the position just before the first entry.
	baseIndex mustardramp.Index
	baseTerm  Term
	// entries have consecutive indexes from baseIndex+1.
	entries []Entry
	// ends holds, for each entry, the size of all commands up to its end, and baseEnd
	// that at the base position. Only differences between them matter.
	ends    []int64
	baseEnd int64
	// memberships holds the memberships by ascending index. The first one is
	// that of the base position and may be empty.
	memberships []indexedMembership
}

// indexedMembership is a membership with the index from which it is in force.
type indexedMembership struct {
	index      mustardramp.Index
	membership Membership
}

func (l *memoryLog) lastIndex() mustardramp.Index {
	return l.baseIndex + mustardramp.Index(len(l.entries))
}

// term returns the term of the entry at an index, or false if the log does not
// contain that index.
func (l *memoryLog) term(index mustardramp.Index) (Term, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memoryLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// between returns the entries after the first index up to and including the
// second.
func (l *memoryLog) between(after, upTo mustardramp.Index) []Entry {
	return l.entries[after-l.baseIndex : upTo-l.baseIndex]
}

// endAt returns the end of the command at an index that the log contains.
func (l *memoryLog) endAt(index mustardramp.Index) int64 {
	if index == l.baseIndex {
		return l.baseEnd
	}
	return l.ends[index-l.baseIndex-1]
}

// commandBytes returns the size of the commands after the first index up to and
// including the second, without those that the log has dropped.
func (l *memoryLog) commandBytes(after, upTo mustardramp.Index) int {
	after = max(after, l.baseIndex)
	upTo = min(upTo, l.lastIndex())
	if after >= upTo {
		return 0
	}
	return int(l.endAt(upTo) - l.endAt(after))
}

// append adds entries and removes any existing entry at the index of the first
// one or later.
func (l *memoryLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	prevIndex := entries[0].Index - 1
	if prevIndex < l.lastIndex() {
		// Slices of the old entries may still be in use, so the new entries must
		// not overwrite their array.
		l.entries = slices.Clip(l.entries[:prevIndex-l.baseIndex])
		l.ends = l.ends[:prevIndex-l.baseIndex]
	}
	l.entries = append(l.entries, entries...)
	end := l.endAt(prevIndex)
	for _, entry := range entries {
		end += int64(len(entry.Command))
		l.ends = append(l.ends, end)
	}
	for l.latestMembership().index > prevIndex {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			l.memberships = append(l.memberships, indexedMembership{entry.Index, entry.Membership})
		}
	}
}

// latestMembership returns the membership with the highest index, committed or not.
func (l *memoryLog) latestMembership() indexedMembership {
	if len(l.memberships) == 0 {
		return indexedMembership{}
	}
	return l.memberships[len(l.memberships)-1]
}

// membershipAt returns the membership in force at an index.
func (l *memoryLog) membershipAt(index mustardramp.Index) Membership {
	var found Membership
	for _, m := range l.memberships {
		if m.index <= index {
			found = m.membership
		}
	}
	return found
}

// discardThrough removes the entries up to and including an index.
func (l *memoryLog) discardThrough(upTo mustardramp.Index) {
	if upTo <= l.baseIndex {
		return
	}
	term, _ := l.term(upTo)
	first := indexedMembership{upTo, l.membershipAt(upTo)}
	kept := []indexedMembership{first}
	for _, m := range l.memberships {
		if m.index > upTo {
			kept = append(kept, m)
		}
	}
	end := l.endAt(upTo)
	l.entries = append([]Entry(nil), l.between(upTo, l.lastIndex())...)
	l.ends = append([]int64(nil), l.ends[upTo-l.baseIndex:]...)
	l.baseEnd = end
	l.baseIndex, l.baseTerm, l.memberships = upTo, term, kept
}

// reset replaces the whole log by the position of a snapshot.
func (l *memoryLog) reset(s *Snapshot) {
	*l = memoryLog{
		baseIndex:   s.Index,
		baseTerm:    s.Term,
		memberships: []indexedMembership{{s.Index, s.Membership}},
	}
}
