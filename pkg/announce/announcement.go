// Package announce lets a backend server tell the fleet where it is, and keep
// the fleet's knowledge of it fresh.
package announce

import (
	"net/netip"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Path is where entry hosts take announcements, by POST.
const Path = "/v1/announcements"

// Announcement is one statement of a backend about itself.
type Announcement struct {
	Service mustardramp.ServiceName `json:"service"`
	// Address is an IP number with a port.
	Address netip.AddrPort     `json:"address"`
	Zone    mustardramp.Zone   `json:"zone"`
	Region  mustardramp.Region `json:"region,omitempty"`
	// Slots and Connections take the contract's values when they are 0.
	Slots       mustardramp.Slots        `json:"slots,omitempty"`
	Connections int                      `json:"connections,omitempty"`
	State       mustardramp.BackendState `json:"state"`
	// Incarnation is higher after each start of the backend, and at least 1.
	Incarnation mustardramp.Incarnation `json:"incarnation"`
	// Sequence is higher in each announcement of one incarnation.
	Sequence mustardramp.Sequence `json:"sequence"`
	// Lease is for how many milliseconds the announcement holds.
	Lease int64 `json:"lease"`
}

// Span returns the lease as a duration.
func (a Announcement) Span() time.Duration {
	return time.Duration(a.Lease) * time.Millisecond
}

// ID names the backend.
func (a Announcement) ID() mustardramp.BackendID {
	return mustardramp.BackendID(string(a.Service) + "/" + a.Address.String())
}
