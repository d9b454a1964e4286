package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
)

// Millis counts milliseconds since 1970.
type Millis int64

// Nonce names one question for a claim. A resent question carries the same.
type Nonce uint64

// Who names a person who decided, and why.
type Who struct {
	Name   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Command is one entry of the group's log. At most one of the pointers is set;
// without any it only tells the time.
type Command struct {
	// Member and At are the control host that proposed and its time.
	Member mustardramp.HostName `cbor:"1,keyasint"`
	At     Millis               `cbor:"2,keyasint"`
	// Claim asks for a claim.
	Claim *Question `cbor:"3,keyasint,omitempty"`
	// Settle records what the holder of a claim knows.
	Settle *mustardramp.Settlement `cbor:"4,keyasint,omitempty"`
	// Abandon says that the asker gave a question up and dispatched nothing.
	Abandon *Question `cbor:"5,keyasint,omitempty"`
	Alive   *Sign     `cbor:"6,keyasint,omitempty"`
	Decide  *Decision `cbor:"7,keyasint,omitempty"`
}

// Encode returns the command as State applies it.
func (c *Command) Encode() ([]byte, error) {
	return encode(c)
}

// Question asks for a claim.
type Question struct {
	Claim mustardramp.Claim `cbor:"1,keyasint"`
	Nonce Nonce             `cbor:"2,keyasint"`
	// Resent is set in all copies but the first.
	Resent bool `cbor:"3,keyasint,omitempty"`
}

// Sign renews the lease of an entry host that holds claims.
type Sign struct {
	Host        mustardramp.HostName    `cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"2,keyasint"`
}

// Decision settles an operation whose outcome is unknown, on an operator's
// word.
type Decision struct {
	ID      mustardramp.ClaimID `cbor:"1,keyasint"`
	Outcome mustardramp.Outcome `cbor:"2,keyasint"`
	Who     Who                 `cbor:"3,keyasint"`
}

// Fault says why a command had no effect.
type Fault uint8

// The faults of commands.
const (
	FaultNone Fault = iota
	// FaultStale is a command of an earlier incarnation or attempt.
	FaultStale
	// FaultFull is a claim when the ledger holds no more entries.
	FaultFull
	// FaultRunning is a decision on an operation whose holder is alive.
	FaultRunning
	// FaultSettled is a decision on an operation with a known outcome.
	FaultSettled
	// FaultBurned is a copy of a question that was answered or abandoned. No
	// copy of it will be granted.
	FaultBurned
	// FaultMissing is a decision on a key that the ledger does not hold.
	FaultMissing
)

var faultTexts = [...]string{
	FaultNone:    "",
	FaultStale:   "the command comes from an earlier incarnation or attempt",
	FaultFull:    "the ledger holds no more entries",
	FaultRunning: "the operation is still running on a host that is alive",
	FaultSettled: "the outcome of the operation is known already",
	FaultBurned:  "the question was answered before",
	FaultMissing: "the ledger does not hold the key",
}

// Error returns the fault's text.
func (f Fault) Error() string {
	if int(f) < len(faultTexts) {
		return faultTexts[f]
	}
	return "unknown fault"
}

// Result is what a command returns.
type Result struct {
	Fault Fault                  `cbor:"1,keyasint,omitempty"`
	Reply mustardramp.ClaimReply `cbor:"2,keyasint"`
	// View is set when the command was a decision on an entry.
	View *View `cbor:"3,keyasint,omitempty"`
}

// DecodeResult reads what State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := decode(data, &r)
	return r, err
}

// answer carries a value, or the ledger's own fault, to a client. An error of
// the call itself says that this member could not answer.
type answer[T any] struct {
	Fault Fault `cbor:"1,keyasint,omitempty"`
	Value T     `cbor:"2,keyasint"`
	// Follows is set by a member that passes commands on to its leader.
	Follows bool `cbor:"3,keyasint,omitempty"`
}

func (a answer[T]) value() (T, error) {
	if a.Fault != FaultNone {
		return a.Value, Error.Wrap(a.Fault)
	}
	return a.Value, nil
}

func encode[T any](value T) ([]byte, error) {
	return cbor.Marshal(value)
}

var decoder = newDecoder()

// maxElements bounds the entries of a snapshot.
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
