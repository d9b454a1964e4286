package quota

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// VoteTerm is how long a vote lasts. A candidate counts it from the time at which
	// it asked, which is never later than the time at which the voter counts it.
	VoteTerm = 3 * time.Second
	// voteRetention is how long an ended vote is remembered. It exceeds the window of
	// the rule: tokens that were lent earlier no longer count.
	voteRetention = 10 * time.Second
)

// Candidate identifies the process that keeps, or wants to keep, a workspace.
type Candidate struct {
	Host        mustardramp.HostName    `json:"host" cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// Ballot asks a host for its vote for the keeper of a workspace, or releases it.
type Ballot struct {
	Workspace mustardramp.WorkspaceName `json:"workspace" cbor:"1,keyasint"`
	Candidate Candidate                 `json:"candidate" cbor:"2,keyasint"`
	// Number counts the campaigns of the candidate. A release does not end the vote of a
	// later campaign, whichever call arrives first.
	Number uint64 `json:"number" cbor:"6,keyasint"`
	// Release ends the vote. Unused is true if the candidate lent no tokens under it;
	// otherwise Level is what its bucket held.
	Release bool    `json:"release,omitempty" cbor:"3,keyasint,omitempty"`
	Unused  bool    `json:"unused,omitempty" cbor:"4,keyasint,omitempty"`
	Level   float32 `json:"level,omitempty" cbor:"5,keyasint,omitempty"`
	// Provisional is true if the candidate can tell provisional votes from others.
	Provisional bool `json:"provisional,omitempty" cbor:"7,keyasint,omitempty"`
}

// Vote answers a Ballot.
type Vote struct {
	Granted bool `json:"granted" cbor:"1,keyasint,omitempty"`
	// Holder has the vote if it was not granted; empty if the voter gives no votes yet.
	Holder mustardramp.HostName `json:"holder" cbor:"2,keyasint,omitempty"`
	// Remaining is the time until the vote can be given to another.
	Remaining time.Duration `json:"remaining" cbor:"6,keyasint,omitempty"`
	// HasEarlier is true if the voter remembers an earlier keeper. Its bucket held Level
	// when the vote for it ended, Age ago.
	HasEarlier bool          `json:"earlier" cbor:"3,keyasint,omitempty"`
	Age        time.Duration `json:"age" cbor:"4,keyasint,omitempty"`
	Level      float32       `json:"level" cbor:"5,keyasint,omitempty"`
	// Provisional is true if the voter may have forgotten a vote that still lasts, since
	// its process was started less than VoteTerm ago. Known is then the number of entry
	// hosts that the voter knows.
	Provisional bool `json:"provisional" cbor:"7,keyasint,omitempty"`
	Known       int  `json:"known" cbor:"8,keyasint,omitempty"`
}

// record is what a voter remembers about one workspace.
type record struct {
	holder Candidate
	number uint64
	until  time.Time
	// level is what the holder's bucket held at the end, 0 if it is not known.
	level float32
	// released is the candidate that last released the vote, in a campaign up to
	// releasedNumber. Ballots of such campaigns that arrive later are void.
	released       Candidate
	releasedNumber uint64
	// earlierUntil and earlierLevel describe the holder before, if earlierUntil is set.
	earlierUntil time.Time
	earlierLevel float32
}

// voter gives the votes of one host: at any time at most one for each workspace, so
// that at most one candidate has the votes of a majority.
type voter struct {
	// startedAt is the start of the process. It has forgotten the votes given before.
	startedAt time.Time
	records   map[mustardramp.WorkspaceName]*record
}

// provisionalAfter is the uptime from which a host gives provisional votes. Before it
// has heard of the fleet, hosts that know few others could win votes side by side.
const provisionalAfter = 400 * time.Millisecond

// untilStarted returns the time until the host gives votes.
func (v *voter) untilStarted(now time.Time) time.Duration {
	return max(0, v.startedAt.Add(provisionalAfter).Sub(now))
}

// vote answers a ballot. Until VoteTerm after the start, votes are provisional: a keeper
// may still have the vote that the host gave before it was started.
func (v *voter) vote(now time.Time, b Ballot) Vote {
	ready := v.startedAt.Add(VoteTerm)
	isProvisional := now.Before(ready)
	r := v.records[b.Workspace]
	if b.Release {
		if r != nil && r.holder == b.Candidate && b.Number >= r.number {
			r.release(now, b)
		}
		return Vote{}
	}
	switch {
	case isProvisional && !b.Provisional:
		return Vote{Remaining: ready.Sub(now), Provisional: true}
	case v.untilStarted(now) > 0:
		return Vote{Remaining: v.untilStarted(now), Provisional: true}
	}
	if r == nil {
		r = &record{}
		if now.Sub(ready) < voteRetention {
			r.until = ready
		}
		if v.records == nil {
			v.records = map[mustardramp.WorkspaceName]*record{}
		}
		v.records[b.Workspace] = r
	}
	if r.released == b.Candidate && b.Number <= r.releasedNumber {
		return Vote{Provisional: isProvisional}
	}
	if r.holder != b.Candidate {
		// A host has one process at a time: a new one replaces the former.
		isRestart := r.holder.Host == b.Candidate.Host && r.holder.Incarnation < b.Candidate.Incarnation
		isForgotten := isProvisional && r.holder == Candidate{}
		if !isRestart && !isForgotten && now.Before(r.until) {
			return Vote{Holder: r.holder.Host, Remaining: r.until.Sub(now), Provisional: isProvisional}
		}
		if isRestart && now.Before(r.until) {
			r.until = now
		}
		r.earlierUntil, r.earlierLevel = r.until, r.level
		r.holder, r.number, r.level = b.Candidate, 0, 0
	}
	r.number = max(r.number, b.Number)
	r.until = now.Add(VoteTerm)
	reply := Vote{Granted: true, Provisional: isProvisional}
	age := now.Sub(r.earlierUntil)
	if age < 0 {
		// The forgotten vote was given before the start.
		age = now.Sub(v.startedAt)
	}
	if !r.earlierUntil.IsZero() && age < voteRetention {
		reply.HasEarlier, reply.Age, reply.Level = true, age, r.earlierLevel
	}
	return reply
}

// release ends the vote of the record.
func (r *record) release(now time.Time, b Ballot) {
	after := record{until: now, level: b.Level, released: b.Candidate, releasedNumber: b.Number}
	if b.Unused {
		after.until, after.level = r.earlierUntil, r.earlierLevel
	}
	*r = after
}

// prune forgets the votes that ended before the retention.
func (v *voter) prune(now time.Time) {
	for name, r := range v.records {
		if now.Sub(r.until) > voteRetention {
			delete(v.records, name)
		}
	}
}
