package ledger

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// EntryState is the state of an operation.
type EntryState uint8

// The states of an operation.
const (
	// Free means that no attempt has run; the operation may be claimed.
	Free EntryState = iota
	// Claimed means that one process holds the claim and may be dispatching.
	Claimed
	// Settled means that the operation ran.
	Settled
	// Unknown means that the operation may have run. It is not claimed again
	// unless its holder or an operator states that it did not run.
	Unknown
)

var stateNames = [...]string{"free", "claimed", "ran", "unknown"}

// String returns the name of the state.
func (s EntryState) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// defaultRetention is how long an entry is kept after its last change when the
// claim states no time.
const defaultRetention = 24 * time.Hour

// maxInvalidNonces bounds the invalid nonces of an entry; the oldest is dropped
// first.
const maxInvalidNonces = 64

// entry is the state of one operation.
type entry struct {
	ID     mustardramp.ClaimID `cbor:"1,keyasint"`
	Digest mustardramp.Digest  `cbor:"2,keyasint"`
	State  EntryState          `cbor:"3,keyasint"`
	// Host and Incarnation name the process that was granted the last claim;
	// Nonce is that of its request.
	Host        mustardramp.HostName    `cbor:"4,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"5,keyasint"`
	Nonce       Nonce                   `cbor:"6,keyasint"`
	// Attempt counts the granted claims. It never decreases.
	Attempt   uint64                        `cbor:"7,keyasint"`
	Answer    *mustardramp.RecordedResponse `cbor:"8,keyasint,omitempty"`
	Retention Millis                        `cbor:"9,keyasint"`
	// Changed is the time of the last change on the ledger's clock.
	Changed Millis `cbor:"10,keyasint"`
	// InvalidNonces lists the nonces of requests that were abandoned, or answered
	// with anything but a grant. No copy of such a request is granted.
	InvalidNonces []Nonce `cbor:"11,keyasint,omitempty"`
	// DecidedBy is the operator who settled the operation in place of its holder.
	DecidedBy *Operator `cbor:"12,keyasint,omitempty"`
}

func newEntry(c mustardramp.Claim) *entry {
	retention := Millis(c.Keep.Milliseconds())
	if retention <= 0 {
		retention = Millis(defaultRetention.Milliseconds())
	}
	return &entry{ID: c.ID, Digest: c.Digest, Retention: retention}
}

// isHeldBy reports whether the last claim was granted to a process.
func (e *entry) isHeldBy(host mustardramp.HostName, incarnation mustardramp.Incarnation) bool {
	return e.Host == host && e.Incarnation == incarnation
}

// isGrantedTo reports whether the last claim was granted to a request or to
// another copy of it.
func (e *entry) isGrantedTo(request *ClaimRequest) bool {
	return e.isHeldBy(request.Claim.Host, request.Claim.Incarnation) && e.Nonce == request.Nonce
}

// canSettle reports whether the outcome is still open, so that a settlement or a
// decision may set it.
func (e *entry) canSettle() bool {
	return e.State == Claimed || e.State == Unknown
}

// canExpire reports whether the entry may be deleted at the end of its retention
// time. An operation that may have run is kept until its outcome is known.
func (e *entry) canExpire() bool {
	return !e.canSettle()
}

// expiry returns the end of the retention time.
func (e *entry) expiry() Millis {
	return e.Changed + e.Retention
}

// grant gives the claim to a request.
func (e *entry) grant(request *ClaimRequest) {
	e.State = Claimed
	e.Host = request.Claim.Host
	e.Incarnation = request.Claim.Incarnation
	e.Nonce = request.Nonce
	e.Attempt++
	e.DecidedBy = nil
}

// invalidate prevents any copy of a request from being granted.
func (e *entry) invalidate(n Nonce) {
	if slices.Contains(e.InvalidNonces, n) {
		return
	}
	e.InvalidNonces = append(e.InvalidNonces, n)
	if len(e.InvalidNonces) > maxInvalidNonces {
		e.InvalidNonces = e.InvalidNonces[1:]
	}
}

// settle sets the outcome. It invalidates the nonce of the granted request, of
// which a copy may still be on its way.
func (e *entry) settle(outcome mustardramp.Outcome, answer *mustardramp.RecordedResponse) {
	e.invalidate(e.Nonce)
	switch outcome {
	case mustardramp.Ran:
		e.State = Settled
		e.Answer = answer
		if answer == nil {
			e.Answer = &mustardramp.RecordedResponse{}
		}
	case mustardramp.NotRun:
		e.State = Free
	default:
		e.State = Unknown
	}
}

// checkRepeat returns FaultNone if a settlement repeats the recorded outcome, and
// FaultStale otherwise.
func (e *entry) checkRepeat(outcome mustardramp.Outcome) Fault {
	hasRun := e.State == Settled
	if e.DecidedBy != nil || hasRun != (outcome == mustardramp.Ran) {
		return FaultStale
	}
	return FaultNone
}

// View is an entry as shown to operators.
type View struct {
	ID          mustardramp.ClaimID           `cbor:"1,keyasint"`
	State       EntryState                    `cbor:"2,keyasint"`
	Host        mustardramp.HostName          `cbor:"3,keyasint"`
	Incarnation mustardramp.Incarnation       `cbor:"4,keyasint"`
	Attempt     uint64                        `cbor:"5,keyasint"`
	Answer      *mustardramp.RecordedResponse `cbor:"6,keyasint,omitempty"`
	Changed     Millis                        `cbor:"7,keyasint"`
	// DecidedBy is the operator who settled the operation, or nil.
	DecidedBy *Operator `cbor:"8,keyasint,omitempty"`
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
		DecidedBy:   e.DecidedBy,
	}
}
