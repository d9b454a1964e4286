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

// command is one entry of the group's log. Exactly one of the pointers is set,
// or none: then the command only tells the time.
type command struct {
	// Member and At are the control host that proposed and its time.
	Member  mustardramp.HostName `cbor:"1,keyasint"`
	At      Millis               `cbor:"2,keyasint"`
	Claim   *claimCommand        `cbor:"3,keyasint,omitempty"`
	Settle  *settleCommand       `cbor:"4,keyasint,omitempty"`
	Abandon *abandonCommand      `cbor:"5,keyasint,omitempty"`
	Alive   *aliveCommand        `cbor:"6,keyasint,omitempty"`
	Decide  *decideCommand       `cbor:"7,keyasint,omitempty"`
}

// claimCommand asks for a claim.
type claimCommand struct {
	Claim mustardramp.Claim `cbor:"1,keyasint"`
	Nonce Nonce             `cbor:"2,keyasint"`
}

// settleCommand records what the holder of a claim knows.
type settleCommand struct {
	Settlement mustardramp.Settlement `cbor:"1,keyasint"`
}

// abandonCommand says that the asker gave the question up and dispatched
// nothing.
type abandonCommand struct {
	Claim mustardramp.Claim `cbor:"1,keyasint"`
	Nonce Nonce             `cbor:"2,keyasint"`
}

// aliveCommand renews the lease of an entry host that holds claims.
type aliveCommand struct {
	Host        mustardramp.HostName    `cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `cbor:"2,keyasint"`
}

// decideCommand settles an operation whose outcome is unknown.
type decideCommand struct {
	ID      mustardramp.ClaimID `cbor:"1,keyasint"`
	Outcome mustardramp.Outcome `cbor:"2,keyasint"`
	Who     Who                 `cbor:"3,keyasint"`
}

// fault says why a command had no effect.
type fault uint8

const (
	faultNone fault = iota
	// faultStale is a command of an earlier incarnation or attempt.
	faultStale
	// faultFull is a claim when the ledger holds no more entries.
	faultFull
	// faultRunning is a decision on an operation whose holder is alive.
	faultRunning
	// faultSettled is a decision on an operation with a known outcome.
	faultSettled
	// faultMissing is a decision on a key that the ledger does not hold.
	faultMissing
)

var faultTexts = [...]string{
	faultNone:    "",
	faultStale:   "the command comes from an earlier incarnation or attempt",
	faultFull:    "the ledger holds no more entries",
	faultRunning: "the operation is still running on a host that is alive",
	faultSettled: "the outcome of the operation is known already",
	faultMissing: "the ledger does not hold the key",
}

// Error returns the fault's text.
func (f fault) Error() string {
	return faultTexts[f]
}

// answer carries a value, or the ledger's own fault, to a client. An error of
// the call itself says that this member could not answer.
type answer[T any] struct {
	Fault fault `cbor:"1,keyasint,omitempty"`
	Value T     `cbor:"2,keyasint"`
}

func (a answer[T]) value() (T, error) {
	if a.Fault != faultNone {
		return a.Value, Error.Wrap(a.Fault)
	}
	return a.Value, nil
}

// result is what a command returns.
type result struct {
	Fault fault                  `cbor:"1,keyasint,omitempty"`
	Reply mustardramp.ClaimReply `cbor:"2,keyasint"`
	View  *View                  `cbor:"3,keyasint,omitempty"`
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
