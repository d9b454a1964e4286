package roster

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// maxStartAhead is how far the start of a backend may lie ahead of this host's clock.
// It is many times the differences between the clocks of machines.
const maxStartAhead = time.Hour

// maxIncarnation bounds the incarnations of backends, whatever their unit. It is above
// the Unix time in nanoseconds until the year 2116.
const maxIncarnation mustardramp.Incarnation = 1 << 62

// The classes of errors of an announcement or a record, one for each cause.
var (
	// ErrInvalid is the class of an announcement whose content is invalid, as opposed
	// to one that is out of order. Its errors have the class of the cause too.
	ErrInvalid = errs.Class("invalid announcement")
	// ErrStart is the class of a start that lies too far ahead. If it were believed, no
	// later start of the backend would be.
	ErrStart = errs.Class("backend start")
	// ErrID is the class of an id other than "service/address:port".
	ErrID = errs.Class("backend id")
	// ErrService is the class of an announcement without a service.
	ErrService = errs.Class("backend service")
	// ErrAddress is the class of an address that no host can dial.
	ErrAddress = errs.Class("backend address")
	// ErrPlace is the class of an announcement without a zone or a region.
	ErrPlace = errs.Class("backend place")
	// ErrSlots is the class of a number of slots outside the limits.
	ErrSlots = errs.Class("backend slots")
	// ErrConnections is the class of a number of connections outside the limits.
	ErrConnections = errs.Class("backend connections")
	// ErrLease is the class of a lease outside the limits.
	ErrLease = errs.Class("backend lease")
	// ErrState is the class of an unknown state, or of one that goes backwards.
	ErrState = errs.Class("backend state order")
	// ErrIncarnation is the class of an announcement of an older incarnation.
	ErrIncarnation = errs.Class("backend incarnation")
	// ErrSequence is the class of an announcement whose sequence is too old, used
	// already or too large.
	ErrSequence = errs.Class("backend sequence")
	// ErrFull is the class of a new backend when the roster holds MaxBackends.
	ErrFull = errs.Class("roster full")
	// ErrRecord is the class of a record that is not a valid backend record.
	ErrRecord = errs.Class("backend record")
)

// ID returns the id of a backend of a service at an address.
func ID(b mustardramp.Backend) mustardramp.BackendID {
	return mustardramp.BackendID(string(b.Service) + "/" + b.Address.String())
}

// checkBackend reports the first fault of a backend, without regard to what is
// known of it.
func checkBackend(b mustardramp.Backend) error {
	switch {
	case b.Service == "":
		return ErrService.New("no service: name the service")
	case !b.Address.IsValid() || b.Address.Port() == 0:
		return ErrAddress.New("%s: give an IP address and a port", b.Address)
	case b.Address.Addr().IsUnspecified() || b.Address.Addr().IsMulticast():
		return ErrAddress.New("%s cannot be dialled: give the address of one network interface", b.Address)
	case b.ID != ID(b):
		return ErrID.New("%q: use %q", b.ID, ID(b))
	case b.Place.Zone == "" || b.Place.Region == "":
		return ErrPlace.New("no zone or no region: give both")
	case b.Slots < 1 || b.Slots > MaxSlots:
		return ErrSlots.New("%d slots: use 1 to %d", b.Slots, MaxSlots)
	case b.Connections < 1 || b.Connections > MaxConnections:
		return ErrConnections.New("%d connections: use 1 to %d", b.Connections, MaxConnections)
	case b.State > mustardramp.Gone:
		return ErrState.New("unknown state %d", b.State)
	case b.Incarnation > maxIncarnation:
		return ErrStart.New("incarnation %d is larger than %d", b.Incarnation, uint64(maxIncarnation))
	case b.Sequence > maxSequence:
		return ErrSequence.New("sequence %d is larger than %d", b.Sequence, uint64(maxSequence))
	}
	return nil
}

// CheckStart reports an incarnation that is the Unix time in milliseconds of a start
// ahead of now.
func CheckStart(now time.Time, incarnation mustardramp.Incarnation) error {
	latest := mustardramp.Incarnation(now.Add(maxStartAhead).UnixMilli())
	if incarnation > latest {
		return ErrInvalid.Wrap(ErrStart.New("incarnation %d is more than %s ahead of the clock: use the Unix time of the start in ms", incarnation, maxStartAhead))
	}
	return nil
}

// checkLease reports a lease outside the limits.
func checkLease(lease time.Duration) error {
	if lease < MinLease || lease > MaxLease {
		return ErrLease.New("lease %s: use %s to %s", lease, MinLease, MaxLease)
	}
	return nil
}

// checkOrder reports an announcement that does not come after the known statement
// and does not repeat it.
func checkOrder(known statement, b mustardramp.Backend) error {
	old := known.Backend
	switch {
	case b.Incarnation < old.Incarnation:
		return ErrIncarnation.New("incarnation %d is older than %d", b.Incarnation, old.Incarnation)
	case b.Incarnation > old.Incarnation:
		return nil
	case b.State < old.State:
		return ErrState.New("state %s after %s: start a new incarnation", b.State, old.State)
	case b.State > old.State:
		return nil
	case b.Sequence < old.Sequence:
		return ErrSequence.New("sequence %d is older than %d", b.Sequence, old.Sequence)
	case b.Sequence == old.Sequence && !known.hasSameContent(statement{Backend: b}):
		return ErrSequence.New("sequence %d was used: announce with a higher one", b.Sequence)
	}
	return nil
}
