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
}

// record is what a voter remembers about one workspace.
type record struct {
	holder Candidate
	number uint64
	until  time.Time
	// level is what the holder's bucket held at the end, 0 if it is not known.
	level float32
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

// vote answers a ballot.
func (v *voter) vote(now time.Time, b Ballot) Vote {
	ready := v.startedAt.Add(VoteTerm)
	if now.Before(ready) {
		return Vote{Remaining: ready.Sub(now)}
	}
	r := v.records[b.Workspace]
	if b.Release {
		if r != nil && r.holder == b.Candidate && b.Number >= r.number {
			r.release(now, b)
		}
		return Vote{}
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
	if r.holder != b.Candidate {
		// A host has one process at a time: a new one replaces the former.
		isRestart := r.holder.Host == b.Candidate.Host && r.holder.Incarnation < b.Candidate.Incarnation
		if !isRestart && now.Before(r.until) {
			return Vote{Holder: r.holder.Host, Remaining: r.until.Sub(now)}
		}
		if now.Before(r.until) {
			r.until = now
		}
		r.earlierUntil, r.earlierLevel = r.until, r.level
		r.holder, r.number, r.level = b.Candidate, 0, 0
	}
	r.number = max(r.number, b.Number)
	r.until = now.Add(VoteTerm)
	reply := Vote{Granted: true}
	if age := now.Sub(r.earlierUntil); !r.earlierUntil.IsZero() && age < voteRetention {
		reply.HasEarlier, reply.Age, reply.Level = true, age, r.earlierLevel
	}
	return reply
}

// release ends the vote of the record.
func (r *record) release(now time.Time, b Ballot) {
	if b.Unused {
		*r = record{until: r.earlierUntil, level: r.earlierLevel}
		return
	}
	*r = record{until: now, level: b.Level}
}

// prune forgets the votes that ended before the retention.
func (v *voter) prune(now time.Time) {
	for name, r := range v.records {
		if now.Sub(r.until) > voteRetention {
			delete(v.records, name)
		}
	}
}
