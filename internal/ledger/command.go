package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
)

// Millis is a time in milliseconds since the Unix epoch, or a duration in
// milliseconds.
type Millis int64

// Nonce identifies one claim request. Its resent copies carry the same nonce.
type Nonce uint64

// Operator holds the name of the operator who made a decision, and the reason given.
type Operator struct {
	Name   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Command is one entry of the group's log. At most one of its pointers is set; a
// command with none set only carries the proposer's time.
type Command struct {
	// Member is the control host that proposed the command. At is the time of its
	// clock.
	Member mustardramp.HostName `cbor:"1,keyasint"`
	At     Millis               `cbor:"2,keyasint"`
	// Claim requests a claim.
	Claim *ClaimRequest `cbor:"3,keyasint,omitempty"`
	// Settle records the outcome that the holder of a claim reports.
	Settle *mustardramp.Settlement `cbor:"4,keyasint,omitempty"`
	// Abandon withdraws a claim request whose sender has dispatched nothing.
	Abandon   *ClaimRequest `cbor:"5,keyasint,omitempty"`
	Heartbeat *Heartbeat    `cbor:"6,keyasint,omitempty"`
	Decide    *Decision     `cbor:"7,keyasint,omitempty"`
}

// Encode returns the encoding that State.Apply reads.
func (c *Command) Encode() ([]byte, error) {
	return encode(c)
}

// ClaimRequest is a request for a claim.
type ClaimRequest struct {
	Claim mustardramp.Claim `cbor:"1,keyasint"`
	Nonce Nonce             `cbor:"2,keyasint"`
	// Resent is set in each copy but the first.
	Resent bool `cbor:"3,keyasint,omitempty"`
}

// Heartbeat renews the lease of an entry host that holds claims.
type Heartbeat struct {
	Host        mustardramp.HostName    `cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"2,keyasint"`
}

// Decision is an operator's statement of the outcome of an operation whose
// outcome is unknown.
type Decision struct {
	ID       mustardramp.ClaimID `cbor:"1,keyasint"`
	Outcome  mustardramp.Outcome `cbor:"2,keyasint"`
	Operator Operator            `cbor:"3,keyasint"`
}

// Fault is the reason for which a command had no effect.
type Fault uint8

// The faults of commands.
const (
	FaultNone Fault = iota
	// FaultStale refuses a command of an earlier incarnation or attempt.
	FaultStale
	// FaultFull refuses a new operation in a ledger that holds MaxEntries.
	FaultFull
	// FaultRunning refuses a decision on an operation whose holder is alive.
	FaultRunning
	// FaultSettled refuses a decision on an operation with a known outcome.
	FaultSettled
	// FaultInvalidNonce refuses a copy of a claim request that was answered or
	// abandoned before. No copy of that request is granted any more.
	FaultInvalidNonce
	// FaultMissing refuses a decision on a key that the ledger does not hold.
	FaultMissing
)

var faultTexts = [...]string{
	FaultNone:         "",
	FaultStale:        "the command comes from an earlier incarnation or attempt",
	FaultFull:         "the ledger holds no more entries",
	FaultRunning:      "the operation is still running on a host that is alive",
	FaultSettled:      "the outcome of the operation is known already",
	FaultInvalidNonce: "the question was answered before",
	FaultMissing:      "the ledger does not hold the key",
}

// Error returns the text of the fault.
func (f Fault) Error() string {
	if int(f) < len(faultTexts) {
		return faultTexts[f]
	}
	return "unknown fault"
}

// Result is the result of a command.
type Result struct {
	Fault Fault                  `cbor:"1,keyasint,omitempty"`
	Reply mustardramp.ClaimReply `cbor:"2,keyasint"`
	// View is the entry after a decision, or the entry that refused one.
	View *View `cbor:"3,keyasint,omitempty"`
}

// DecodeResult decodes a result of State.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := decode(data, &r)
	return r, err
}

// response carries a value, or a fault of the ledger, to a client. An error of
// the call itself means that this member could not answer.
type response[T any] struct {
	Fault Fault `cbor:"1,keyasint,omitempty"`
	Value T     `cbor:"2,keyasint"`
	// Follower is set by a member that passes commands on to a leader.
	Follower bool `cbor:"3,keyasint,omitempty"`
}

func (r response[T]) value() (T, error) {
	if r.Fault != FaultNone {
		return r.Value, Error.Wrap(r.Fault)
	}
	return r.Value, nil
}

func encode[T any](value T) ([]byte, error) {
	return cbor.Marshal(value)
}

var decoder = newDecoder()

// maxElements bounds the elements of one array or map in a snapshot. It exceeds
// MaxEntries and the default limit of the decoder.
const maxElements = 1 << 27

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func decode[T any](data []byte, value *T) error {
	return decoder.Unmarshal(data, value)
}
