package quorum

import (
	"cmp"
	"slices"

	"github.com/mustardramp/mustardramp"
)

// MemberID identifies one data folder in a group. A host that has lost its folder
// returns with a new ID.
type MemberID uint64

// Term numbers the elections of a group. Each term has at most one leader.
type Term uint64

// GroupName is the name of a group of members that replicate one log.
type GroupName string

// Member is one member of a group.
type Member struct {
	ID   MemberID             `cbor:"1,keyasint"`
	Host mustardramp.HostName `cbor:"2,keyasint"`
	// Voter is false for a learner: a member that receives the log but has no
	// vote, for instance until it has caught up.
	Voter bool `cbor:"3,keyasint"`
}

// Membership lists the members of a group, sorted by ID and without duplicates.
type Membership []Member

// find returns the position of a member and whether it is present. For a missing
// member it is the position at which to insert it.
func (m Membership) find(id MemberID) (int, bool) {
	return slices.BinarySearchFunc(m, id, func(member Member, id MemberID) int {
		return cmp.Compare(member.ID, id)
	})
}

// Member returns the member with the given ID and whether it exists.
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

// with returns a copy to which the member is added, or in which it is replaced.
func (m Membership) with(member Member) Membership {
	next := slices.Clone(m)
	i, ok := m.find(member.ID)
	if ok {
		next[i] = member
		return next
	}
	return slices.Insert(next, i, member)
}

// without returns a copy from which the member is removed.
func (m Membership) without(id MemberID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(member Member) bool {
		return member.ID == id
	})
}

// VoterCount returns the number of members with a vote.
func (m Membership) VoterCount() int {
	count := 0
	for _, member := range m {
		if member.Voter {
			count++
		}
	}
	return count
}

// LearnerCount returns the number of members without a vote.
func (m Membership) LearnerCount() int {
	return len(m) - m.VoterCount()
}

// hasQuorum reports whether more than half of the voters satisfy the condition.
func (m Membership) hasQuorum(condition func(MemberID) bool) bool {
	count := 0
	for _, member := range m {
		if member.Voter && condition(member.ID) {
			count++
		}
	}
	return count > m.VoterCount()/2
}

// quorumValue returns the greatest value that a quorum of the voters has reached.
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
