package announcement

import (
	"fmt"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// check returns every fault of an announcement. It sets the values that the
// announcement leaves out and the contract or the zones supply.
func (h *Handler) check(a *announce.Announcement, c *contract.Contract) []announce.Fault {
	var faults []announce.Fault
	addFault := func(field, reason string) {
		faults = append(faults, announce.Fault{Field: field, Reason: reason})
	}
	if c == nil {
		addFault("service", fmt.Sprintf("%q has no contract", a.Service))
	} else {
		applyDefaults(a, c)
	}
	if reason := checkAddress(a); reason != "" {
		addFault("address", reason)
	}
	if reason := h.checkPlace(a); reason != "" {
		addFault("zone", reason)
	}
	if a.Slots < 0 || a.Slots > contract.MaxSlots {
		addFault("slots", fmt.Sprintf("is not from 1 to %d", contract.MaxSlots))
	}
	if a.Connections < 0 || a.Connections > contract.MaxConnections {
		addFault("connections", fmt.Sprintf("is not from 1 to %d", contract.MaxConnections))
	}
	if a.Incarnation == 0 {
		addFault("incarnation", "is not at least 1")
	}
	if a.Lease < MinLease.Milliseconds() || a.Lease > MaxLease.Milliseconds() {
		addFault("lease", fmt.Sprintf("is not from %d to %d milliseconds", MinLease/time.Millisecond, MaxLease/time.Millisecond))
	}
	return faults
}

// applyDefaults sets slots and connections from the contract if the announcement
// leaves them out.
func applyDefaults(a *announce.Announcement, c *contract.Contract) {
	if a.Slots == 0 {
		a.Slots = c.Slots
	}
	if a.Connections == 0 {
		a.Connections = c.Connections
	}
}

// checkAddress returns the fault of the address, or an empty string.
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

// checkPlace returns the fault of the zone and region, or an empty string. It sets
// the region of a known zone.
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

// RosterFunc is a function that implements Roster.
type RosterFunc func(now time.Time, b mustardramp.Backend, lease time.Duration) error

// Announce calls f.
func (f RosterFunc) Announce(now time.Time, b mustardramp.Backend, lease time.Duration) error {
	return f(now, b, lease)
}
