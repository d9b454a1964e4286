package mustardramp

import (
	"net/netip"

	"github.com/zeebo/errs"
)

// BackendState is what a backend announces of itself.
type BackendState uint8

// The states of a backend, in the order in which one incarnation passes them.
const (
	Starting BackendState = iota
	Serving
	Leaving
	Gone
)

var backendStateNames = [...]string{"starting", "serving", "leaving", "gone"}

// ErrBackendState is the class of errors for a name that is not a state.
var ErrBackendState = errs.Class("backend state")

// String returns the state's name.
func (s BackendState) String() string {
	if int(s) < len(backendStateNames) {
		return backendStateNames[s]
	}
	return "unknown"
}

// MarshalText encodes the state as its name.
func (s BackendState) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes a state from its name.
func (s *BackendState) UnmarshalText(text []byte) error {
	for i, n := range backendStateNames {
		if n == string(text) {
			*s = BackendState(i)
			return nil
		}
	}
	return ErrBackendState.New("unknown backend state %q: use starting, serving, leaving or gone", text)
}

// Backend is one backend server as it announced itself.
type Backend struct {
	ID      BackendID      `json:"id" cbor:"1,keyasint"`
	Service ServiceName    `json:"service" cbor:"2,keyasint"`
	Address netip.AddrPort `json:"address" cbor:"3,keyasint"`
	Place   Place          `json:"place" cbor:"4,keyasint"`
	// Slots is at least 1.
	Slots Slots `json:"slots" cbor:"5,keyasint"`
	// Connections is the most connections that the backend accepts from the
	// whole fleet; at least 1.
	Connections int          `json:"connections" cbor:"6,keyasint"`
	State       BackendState `json:"state" cbor:"7,keyasint"`
	// Incarnation and Sequence order announcements. Within an incarnation the
	// state never moves backwards.
	Incarnation Incarnation `json:"incarnation" cbor:"8,keyasint"`
	Sequence    Sequence    `json:"sequence" cbor:"9,keyasint"`
	// Instance is the backend's own name, which it keeps or changes from one
	// incarnation to the next; empty when it states none.
	Instance string `json:"instance,omitempty" cbor:"10,keyasint,omitempty"`
}

// Supersedes reports whether b is a newer statement than old.
func (b Backend) Supersedes(old Backend) bool {
	if b.Incarnation != old.Incarnation {
		return b.Incarnation > old.Incarnation
	}
	if b.State != old.State {
		return b.State > old.State
	}
	return b.Sequence > old.Sequence
}

// Standing is what this host decides about a backend from its state and the
// evidence.
type Standing struct {
	Backend Backend
	// Ejected backends receive no work but trials.
	Ejected bool
	// Avoided backends are ejected by this host alone: its path is bad.
	Avoided bool
	// Trial backends are ejected ones that take a trickle of idempotent work
	// of the least rank.
	Trial bool
	// Weight is the share of its slots that the backend may use, from 0 to 1:
	// below 1 while it ramps up after a start or an ejection.
	Weight float64
	// Cause is one phrase that explains the standing, for operators.
	Cause string
}

// Usable reports whether the backend may receive ordinary work.
func (s Standing) Usable() bool {
	return s.Backend.State == Serving && !s.Ejected && !s.Avoided && s.Weight > 0
}
