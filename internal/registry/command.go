// Package registry holds the replicated state of the services' contracts: which
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

// File is a contract file in a change.
type File struct {
	Name   string `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint"`
	// Base is the revision that the change is based on; 0 for a new service.
	Base mustardramp.Revision `cbor:"3,keyasint"`
}

// Command proposes a change of contracts, or records the departure of a backend.
type Command struct {
	Change mustardramp.ChangeID `cbor:"1,keyasint"`
	Who    string               `cbor:"2,keyasint"`
	Why    string               `cbor:"3,keyasint"`
	// At is the time of the proposer's clock.
	At    time.Time `cbor:"4,keyasint"`
	Files []File    `cbor:"5,keyasint"`
	// Departure records that a backend leaves. It is set in place of Files.
	Departure *Departure `cbor:"6,keyasint,omitempty"`
}

// ServiceRevision names a revision of a service's contract.
type ServiceRevision struct {
	Service  mustardramp.ServiceName `cbor:"1,keyasint"`
	Revision mustardramp.Revision    `cbor:"2,keyasint"`
}

// Change is an accepted change of contracts.
type Change struct {
	ID       mustardramp.ChangeID `cbor:"1,keyasint"`
	Index    mustardramp.Index    `cbor:"2,keyasint"`
	Who      string               `cbor:"3,keyasint"`
	Why      string               `cbor:"4,keyasint"`
	At       time.Time            `cbor:"5,keyasint"`
	Services []ServiceRevision    `cbor:"6,keyasint"`
	// Digest is a hash of the command's files. It distinguishes a resent change
	// from another change with the same id.
	Digest uint64 `cbor:"7,keyasint"`
}

// Conflict refuses a change because the revision of a service in force is not the
// one that the change is based on.
type Conflict struct {
	Service mustardramp.ServiceName `cbor:"1,keyasint"`
	Base    mustardramp.Revision    `cbor:"2,keyasint"`
	// Revision is the revision in force; 0 if the service has no contract.
	Revision mustardramp.Revision `cbor:"3,keyasint"`
	// Difference is a unified diff from the text in force to the proposed text.
	Difference string `cbor:"4,keyasint"`
}

// Result is the result of a command; exactly one field is set.
type Result struct {
	Change   *Change         `cbor:"1,keyasint,omitempty"`
	Conflict *Conflict       `cbor:"2,keyasint,omitempty"`
	Faults   contract.Faults `cbor:"3,keyasint,omitempty"`
	// Reused is the earlier change that has the same id and other files.
	Reused *Change `cbor:"4,keyasint,omitempty"`
	// DecodeError is the error of a command that cannot be decoded.
	DecodeError string `cbor:"5,keyasint,omitempty"`
	// TableInForce is the version of the routing table in force. It is set if a
	// proposed table is not newer; the table in force then stays.
	TableInForce contract.TableVersion `cbor:"6,keyasint,omitempty"`
	// DepartureRecorded is set when the departure of a backend is on record, by this
	// command or an earlier one.
	DepartureRecorded bool `cbor:"7,keyasint,omitempty"`
}

// Encode returns the encoding that State.Apply reads.
func (c Command) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	return b, Error.Wrap(err)
}

// DecodeResult decodes a result of State.Apply.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(b, &r)
	return r, Error.Wrap(err)
}
