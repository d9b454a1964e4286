package announcement

import (
	"fmt"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// check returns every fault of a statement, and fills in what the contract
// and the zones supply.
func (h *Handler) check(a *announce.Announcement, c *contract.Contract) []announce.Fault {
	var faults []announce.Fault
	fault := func(field, reason string) {
		faults = append(faults, announce.Fault{Field: field, Reason: reason})
	}
	if c == nil {
		fault("service", fmt.Sprintf("%q has no contract", a.Service))
	} else {
		fillIn(a, c)
	}
	if reason := checkAddress(a); reason != "" {
		fault("address", reason)
	}
	if reason := h.checkPlace(a); reason != "" {
		fault("zone", reason)
	}
	if a.Slots < 0 || a.Slots > contract.MaxSlots {
		fault("slots", fmt.Sprintf("is not from 1 to %d", contract.MaxSlots))
	}
	if a.Connections < 0 || a.Connections > contract.MaxConnections {
		fault("connections", fmt.Sprintf("is not from 1 to %d", contract.MaxConnections))
	}
	if a.Incarnation == 0 {
		fault("incarnation", "is not at least 1")
	}
	if a.Lease < MinLease.Milliseconds() || a.Lease > MaxLease.Milliseconds() {
		fault("lease", fmt.Sprintf("is not from %d to %d milliseconds", MinLease/time.Millisecond, MaxLease/time.Millisecond))
	}
	return faults
}

func fillIn(a *announce.Announcement, c *contract.Contract) {
	if a.Slots == 0 {
		a.Slots = c.Slots
	}
	if a.Connections == 0 {
		a.Connections = c.Connections
	}
}

func checkAddress(a *announce.Announcement) string {
	ip := a.Address.Addr()
	switch {
	case !a.Address.IsValid():
		return "is not an IP number with a port"
	case a.Address.Port() == 0:
		return "has port 0"
	case ip.IsUnspecified():
		return "is the unspecified address"
	case ip.IsMulticast():
		return "is a multicast address"
	case ip.Zone() != "":
		return "has an address scope"
	default:
		return ""
	}
}

// checkPlace sets the region of a known zone.
func (h *Handler) checkPlace(a *announce.Announcement) string {
	if a.Zone == "" {
		return "is missing"
	}
	if len(h.config.Zones) == 0 {
		return ""
	}
	region, ok := h.config.Zones[a.Zone]
	if !ok {
		return fmt.Sprintf("%q is not a zone of this fleet", a.Zone)
	}
	if a.Region != "" && a.Region != region {
		return fmt.Sprintf("%q belongs to region %q", a.Zone, region)
	}
	a.Region = region
	return ""
}

var _ Roster = RosterFunc(nil)

// RosterFunc lets a function be a Roster.
type RosterFunc func(now time.Time, b mustardramp.Backend, lease time.Duration) error

// Announce calls the function.
func (f RosterFunc) Announce(now time.Time, b mustardramp.Backend, lease time.Duration) error {
	return f(now, b, lease)
}
