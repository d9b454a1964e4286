package quorum

import (
	"cmp"
	"slices"

	"github.com/mustardramp/mustardramp"
)

// MemberID is the identity of one data folder in a group. A host that lost its
// folder comes back under a new one.
type MemberID uint64

// Term counts elections.
type Term uint64

// GroupName names a group of members that share one log.
type GroupName string

// Member is one member of a group.
type Member struct {
	ID   MemberID             `cbor:"1,keyasint"`
	Host mustardramp.HostName `cbor:"2,keyasint"`
	// Voter is false for a member that only receives the log, until it has
	// caught up.
	Voter bool `cbor:"3,keyasint"`
}

// Membership lists the members of a group by ascending ID, each once.
type Membership []Member

// find returns the position of a member, or where it belongs.
func (m Membership) find(id MemberID) (int, bool) {
	return slices.BinarySearchFunc(m, id, func(member Member, id MemberID) int {
		return cmp.Compare(member.ID, id)
	})
}

// Member returns the member of an ID.
func (m Membership) Member(id MemberID) (Member, bool) {
	i, ok := m.find(id)
	if !ok {
		return Member{}, false
	}
	return m[i], true
}

func (m Membership) isVoter(id MemberID) bool {
	member, ok := m.Member(id)
	return ok && member.Voter
}

// with returns a copy in which the member is added or replaced.
func (m Membership) with(member Member) Membership {
	next := slices.Clone(m)
	i, ok := m.find(member.ID)
	if ok {
		next[i] = member
		return next
	}
	return slices.Insert(next, i, member)
}

// without returns a copy that lacks the member.
func (m Membership) without(id MemberID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(member Member) bool {
		return member.ID == id
	})
}

func (m Membership) voters() int {
	count := 0
	for _, member := range m {
		if member.Voter {
			count++
		}
	}
	return count
}

// isQuorum reports whether more than half of the voters satisfy has.
func (m Membership) isQuorum(has func(MemberID) bool) bool {
	count := 0
	for _, member := range m {
		if member.Voter && has(member.ID) {
			count++
		}
	}
	return count > m.voters()/2
}

// quorumValue returns the greatest value that a quorum has reached.
func quorumValue[V cmp.Ordered](m Membership, value func(MemberID) V) V {
	var values []V
	for _, member := range m {
		if member.Voter {
			values = append(values, value(member.ID))
		}
	}
	slices.Sort(values)
	if len(values) == 0 {
		var zero V
		return zero
	}
	return values[(len(values)-1)/2]
}
