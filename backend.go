package mustardramp

import (
	"net/netip"

	"github.com/zeebo/errs"
)

// BackendState is the lifecycle state that a backend announces.
type BackendState uint8

// The states of a backend, in the order in which one incarnation passes
// through them.
const (
	// Starting backends do not take requests yet.
	Starting BackendState = iota
	// Serving backends take requests.
	Serving
	// Leaving backends finish the requests in flight and take no new ones.
	Leaving
	// Gone backends have stopped.
	Gone
)

var backendStateNames = [...]string{"starting", "serving", "leaving", "gone"}

// ErrBackendState is the error class for names that are not a BackendState.
var ErrBackendState = errs.Class("backend state")

// String returns the name of the state, such as "serving", or "unknown".
func (s BackendState) String() string {
	if int(s) < len(backendStateNames) {
		return backendStateNames[s]
	}
	return "unknown"
}

// MarshalText encodes the state as its name. It implements
// encoding.TextMarshaler.
func (s BackendState) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes a state from its name. It implements
// encoding.TextUnmarshaler; the error has class ErrBackendState.
func (s *BackendState) UnmarshalText(text []byte) error {
	for i, n := range backendStateNames {
		if n == string(text) {
			*s = BackendState(i)
			return nil
		}
	}
	return ErrBackendState.New("unknown backend state %q: use starting, serving, leaving or gone", text)
}

// Backend describes a backend server, as it announced itself.
type Backend struct {
	// ID consists of Service and Address.
	ID      BackendID      `json:"id" cbor:"1,keyasint"`
	Service ServiceName    `json:"service" cbor:"2,keyasint"`
	Address netip.AddrPort `json:"address" cbor:"3,keyasint"`
	Place   Place          `json:"place" cbor:"4,keyasint"`
	// Slots is the number of requests that the backend serves concurrently; at
	// least 1.
	Slots Slots `json:"slots" cbor:"5,keyasint"`
	// Connections is the maximum number of connections that the backend accepts
	// from the whole fleet; at least 1.
	Connections int          `json:"connections" cbor:"6,keyasint"`
	State       BackendState `json:"state" cbor:"7,keyasint"`
	// Incarnation and Sequence order the announcements of a backend. Within an
	// incarnation the state never moves backwards.
	Incarnation Incarnation `json:"incarnation" cbor:"8,keyasint"`
	Sequence    Sequence    `json:"sequence" cbor:"9,keyasint"`
	// Instance is a name that the backend gives itself; it may change between
	// incarnations. It is empty if the backend has none.
	Instance string `json:"instance,omitempty" cbor:"10,keyasint,omitempty"`
}

// Supersedes reports whether b is newer than old, another announcement of the
// same backend: by incarnation, then by state, then by sequence.
func (b Backend) Supersedes(old Backend) bool {
	if b.Incarnation != old.Incarnation {
		return b.Incarnation > old.Incarnation
	}
	if b.State != old.State {
		return b.State > old.State
	}
	return b.Sequence > old.Sequence
}

// Standing is this host's decision about the traffic of a backend, derived from
// the announced state and the observed results.
type Standing struct {
	Backend Backend
	// Ejected backends receive no requests except trial requests.
	Ejected bool
	// Avoided backends are ejected by this host only, because its network path
	// to them is bad.
	Avoided bool
	// Trial marks an ejected backend that receives a small number of
	// idempotent requests of rank Bulk, to find out whether it has recovered.
	Trial bool
	// Weight is the usable share of the backend's slots, from 0 to 1. It is
	// below 1 while the backend ramps up after a start or an ejection.
	Weight float64
	// Cause explains the standing to operators in one phrase.
	Cause string
}

// Usable reports whether the backend may receive requests other than trial
// requests.
func (s Standing) Usable() bool {
	return s.Backend.State == Serving && !s.Ejected && !s.Avoided && s.Weight > 0
}
