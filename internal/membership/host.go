// Package membership decides which hosts belong to the fleet, which of them are
// lost, and to which of them a host holds links. It has no clock and does no I/O:
// statements, the results of calls and times go in, statements and peers come out.
package membership

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Error is the class of errors for statements that cannot be decoded.
var Error = errs.Class("membership")

// Role is the role of a host in the fleet.
type Role uint8

// The roles.
const (
	Entry Role = iota
	Control
)

// String returns the role's name.
func (r Role) String() string {
	if r == Control {
		return "control"
	}
	return "entry"
}

// Host is a host's statement about itself.
type Host struct {
	Name  mustardramp.HostName `cbor:"1,keyasint"`
	Role  Role                 `cbor:"2,keyasint,omitempty"`
	Place mustardramp.Place    `cbor:"3,keyasint"`
	// Address is where the host answers calls of other hosts.
	Address netip.AddrPort `cbor:"4,keyasint"`
	// AdminAddress is where the host answers operators.
	AdminAddress netip.AddrPort `cbor:"5,keyasint,omitempty"`
	// Incarnation counts the starts of the process; Sequence orders the
	// statements of one start.
	Incarnation mustardramp.Incarnation `cbor:"6,keyasint"`
	Sequence    mustardramp.Sequence    `cbor:"7,keyasint"`
	// Leaving is set once the host drains, and stays set until it restarts.
	Leaving bool `cbor:"8,keyasint,omitempty"`
}

// version returns the version of the statement.
func (h Host) version() mustardramp.Version {
	return mustardramp.Version{Epoch: uint64(h.Incarnation), Sequence: uint64(h.Sequence)}
}

// suspicion is a host's statement that it cannot reach another host. It refers to
// one statement of that host, so that a newer statement refutes it.
type suspicion struct {
	Host     mustardramp.HostName `cbor:"1,keyasint"`
	Observer mustardramp.HostName `cbor:"2,keyasint"`
	About    mustardramp.Version  `cbor:"3,keyasint"`
	// Withdrawn is set when the observer reaches the host again.
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
}

// statement is the payload of a record: one of its fields is set.
type statement struct {
	Host      *Host      `cbor:"1,keyasint,omitempty"`
	Suspicion *suspicion `cbor:"2,keyasint,omitempty"`
}

func (h Host) record() mustardramp.Record {
	return record(string(h.Name), h.version(), statement{Host: &h})
}

func (s suspicion) record(v mustardramp.Version) mustardramp.Record {
	return record(string(s.Host)+"?"+string(s.Observer), v, statement{Suspicion: &s})
}

func record(key string, v mustardramp.Version, s statement) mustardramp.Record {
	payload, err := cbor.Marshal(s)
	if err != nil {
		// The types of a statement always encode.
		panic(err)
	}
	return mustardramp.Record{Kind: mustardramp.RecordHost, Key: key, Version: v, Payload: payload}
}
