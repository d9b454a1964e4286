// Package registry is the replicated state of the services' contracts: which
// revision is in force, who changed it and why.
package registry

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Error is the class of this package's errors.
var Error = errs.Class("registry")

// File is one contract file of a change.
type File struct {
	Name   string `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint"`
	// Base is the revision that the change starts from; 0 for a new service.
	Base mustardramp.Revision `cbor:"3,keyasint"`
}

// Command is one proposed change of contracts.
type Command struct {
	Change mustardramp.ChangeID `cbor:"1,keyasint"`
	Who    string               `cbor:"2,keyasint"`
	Why    string               `cbor:"3,keyasint"`
	// At is the proposer's time.
	At    time.Time `cbor:"4,keyasint"`
	Files []File    `cbor:"5,keyasint"`
	// Leaving is set in place of Files by a backend that leaves.
	Leaving *Leaving `cbor:"6,keyasint,omitempty"`
}

// ServiceRevision names a revision of a service's contract.
type ServiceRevision struct {
	Service  mustardramp.ServiceName `cbor:"1,keyasint"`
	Revision mustardramp.Revision    `cbor:"2,keyasint"`
}

// Change is an accepted change.
type Change struct {
	ID       mustardramp.ChangeID `cbor:"1,keyasint"`
	Index    mustardramp.Index    `cbor:"2,keyasint"`
	Who      string               `cbor:"3,keyasint"`
	Why      string               `cbor:"4,keyasint"`
	At       time.Time            `cbor:"5,keyasint"`
	Services []ServiceRevision    `cbor:"6,keyasint"`
	// Digest is of the command's files, so that another change under the same
	// id is told apart from a resent one.
	Digest uint64 `cbor:"7,keyasint"`
}

// Conflict says that a service moved on since the revision a change starts
// from.
type Conflict struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Base    mustardramp.Revision    `cbor:"2,keyasint"`
	// Revision is the one in force; 0 when the service has no contract.
	Revision mustardramp.Revision `cbor:"3,keyasint"`
	// Difference is a unified diff from the text in force to the proposed.
	Difference string `cbor:"4,keyasint"`
}

// Result is the answer to a command; exactly one field is set.
type Result struct {
	Change   *Change         `cbor:"1,keyasint,omitempty"`
	Conflict *Conflict       `cbor:"2,keyasint,omitempty"`
	Faults   contract.Faults `cbor:"3,keyasint,omitempty"`
	// Reused is set when the change id was used for another change.
	Reused *Change `cbor:"4,keyasint,omitempty"`
	// Broken is set when the command cannot be decoded.
	Broken string `cbor:"5,keyasint,omitempty"`
	// Held is set when a routing table is no newer than the one in force,
	// which stays.
	Held contract.TableVersion `cbor:"6,keyasint,omitempty"`
	// Left is set when a backend's leaving was recorded, or was before.
	Left bool `cbor:"7,keyasint,omitempty"`
}

// Encode returns the command's bytes for the log.
func (c Command) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	return b, Error.Wrap(err)
}

// DecodeResult reads what Apply returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(b, &r)
	return r, Error.Wrap(err)
}
