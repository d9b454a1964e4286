package ledger

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// EntryState is how far an operation has come.
type EntryState uint8

// The states of an operation.
const (
	// Free may be claimed: no attempt ran.
	Free EntryState = iota
	// Claimed is held by one process, which may be dispatching it.
	Claimed
	// Settled ran.
	Settled
	// Unknown may have run and is never claimed again, unless its holder or
	// an operator says what became of it.
	Unknown
)

var stateNames = [...]string{"free", "claimed", "ran", "unknown"}

// String returns the state's name.
func (s EntryState) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// defaultKeep is for how long a key without a span of its own is kept.
const defaultKeep = 24 * time.Hour

// burnedLimit bounds the burned questions that an entry remembers.
const burnedLimit = 64

// entry is the record of one operation.
type entry struct {
	ID     mustardramp.ClaimID `cbor:"1,keyasint"`
	Digest mustardramp.Digest  `cbor:"2,keyasint"`
	State  EntryState          `cbor:"3,keyasint"`
	// Host, Incarnation and Nonce name the holder of the last claim and its
	// question.
	Host        mustardramp.HostName    `cbor:"4,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"5,keyasint"`
	Nonce       Nonce                   `cbor:"6,keyasint"`
	// Attempt counts the claims that were granted. It never goes back.
	Attempt uint64              `cbor:"7,keyasint"`
	Answer  *mustardramp.Answer `cbor:"8,keyasint,omitempty"`
	Keep    Millis              `cbor:"9,keyasint"`
	// Changed is the ledger's time of the last change.
	Changed Millis `cbor:"10,keyasint"`
	// Burned lists questions that were abandoned, or answered otherwise than
	// with a grant. No copy of them is ever granted.
	Burned []Nonce `cbor:"11,keyasint,omitempty"`
	// Decided is who settled the operation in place of its holder.
	Decided *Who `cbor:"12,keyasint,omitempty"`
}

func newEntry(c mustardramp.Claim) *entry {
	keep := Millis(c.Keep.Milliseconds())
	if keep <= 0 {
		keep = Millis(defaultKeep.Milliseconds())
	}
	return &entry{ID: c.ID, Digest: c.Digest, Keep: keep}
}

// isHeldBy reports whether the last claim is a process's.
func (e *entry) isHeldBy(host mustardramp.HostName, incarnation mustardramp.Incarnation) bool {
	return e.Host == host && e.Incarnation == incarnation
}

// isAskedBy reports whether a question is the one that was granted.
func (e *entry) isAskedBy(q *Question) bool {
	return e.isHeldBy(q.Claim.Host, q.Claim.Incarnation) && e.Nonce == q.Nonce
}

// isOpen reports whether the holder's word still counts.
func (e *entry) isOpen() bool {
	return e.State == Claimed || e.State == Unknown
}

// canExpire reports whether the entry may be forgotten once its span is over.
// One that may have run is kept until somebody says what became of it.
func (e *entry) canExpire() bool {
	return !e.isOpen()
}

func (e *entry) expiry() Millis {
	return e.Changed + e.Keep
}

// grant gives the claim to a question.
func (e *entry) grant(c *Question) {
	e.State = Claimed
	e.Host = c.Claim.Host
	e.Incarnation = c.Claim.Incarnation
	e.Nonce = c.Nonce
	e.Attempt++
	e.Decided = nil
}

// burn has a question never be granted.
func (e *entry) burn(n Nonce) {
	if slices.Contains(e.Burned, n) {
		return
	}
	e.Burned = append(e.Burned, n)
	if len(e.Burned) > burnedLimit {
		e.Burned = e.Burned[1:]
	}
}

// settle takes over an outcome. A copy of the question may still be under way:
// it is not to be answered any more.
func (e *entry) settle(outcome mustardramp.Outcome, answer *mustardramp.Answer) {
	e.burn(e.Nonce)
	switch outcome {
	case mustardramp.Ran:
		e.State = Settled
		e.Answer = answer
		if answer == nil {
			e.Answer = &mustardramp.Answer{}
		}
	case mustardramp.NotRun:
		e.State = Free
	default:
		e.State = Unknown
	}
}

// repeated says whether a settlement is a copy of the one that was recorded.
func (e *entry) repeated(outcome mustardramp.Outcome) Fault {
	wasRun := e.State == Settled
	if e.Decided != nil || wasRun != (outcome == mustardramp.Ran) {
		return FaultStale
	}
	return FaultNone
}

// View is an entry as operators see it.
type View struct {
	ID          mustardramp.ClaimID     `cbor:"1,keyasint"`
	State       EntryState              `cbor:"2,keyasint"`
	Host        mustardramp.HostName    `cbor:"3,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"4,keyasint"`
	Attempt     uint64                  `cbor:"5,keyasint"`
	Answer      *mustardramp.Answer     `cbor:"6,keyasint,omitempty"`
	Changed     Millis                  `cbor:"7,keyasint"`
	// Decided is set when an operator settled the operation.
	Decided *Who `cbor:"8,keyasint,omitempty"`
}

func (e *entry) view() *View {
	return &View{
		ID:          e.ID,
		State:       e.State,
		Host:        e.Host,
		Incarnation: e.Incarnation,
		Attempt:     e.Attempt,
		Answer:      e.Answer,
		Changed:     e.Changed,
		Decided:     e.Decided,
	}
}
