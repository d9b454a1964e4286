// Package announce is the client with which a backend server registers itself
// with the entry hosts.
//
// An announcement is valid for its lease. Client.Run renews it until the backend
// stops; Client.Leave and Client.Gone end it early.
package announce

import (
	"net/netip"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Path is the URL path to which announcements are sent with POST.
const Path = "/v1/announcements"

// Announcement describes a backend and is the JSON body of a request to Path.
type Announcement struct {
	Service mustardramp.ServiceName `json:"service"`
	// Address is the IP address and port at which the backend serves requests.
	Address netip.AddrPort     `json:"address"`
	Zone    mustardramp.Zone   `json:"zone"`
	Region  mustardramp.Region `json:"region,omitempty"`
	// Slots is the number of requests that the backend serves concurrently, and
	// Connections the maximum number of connections that it accepts from the
	// whole fleet. Zero stands for the value of the service's contract.
	Slots       mustardramp.Slots        `json:"slots,omitempty"`
	Connections int                      `json:"connections,omitempty"`
	State       mustardramp.BackendState `json:"state"`
	// Incarnation is 1 to 2^62 and increases with each start of the backend.
	Incarnation mustardramp.Incarnation `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence mustardramp.Sequence `json:"sequence"`
	// Lease is the time in milliseconds for which the announcement is valid.
	Lease int64 `json:"lease"`
}

// Span returns the lease as a duration.
func (a Announcement) Span() time.Duration {
	return time.Duration(a.Lease) * time.Millisecond
}

// ID returns the ID of the backend, which consists of its service and address.
func (a Announcement) ID() mustardramp.BackendID {
	return mustardramp.BackendID(string(a.Service) + "/" + a.Address.String())
}
