// Package lease shares the slots of a service's backends among hosts. The
// backends are divided into groups; one host keeps each group and grants leases
// of its slots, so that the ranks of all hosts meet in one queue and backends
// need not shed. Any host grants leases of any group on request: each host derives
// the keepers from the hosts that are alive, and a slot that is granted twice
// during a network partition costs at most a shed request.
package lease

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Number identifies a lease request, and the lease granted for it, within one
// incarnation of a host.
type Number uint64

// GroupID identifies a group of backends of one service.
type GroupID struct {
	Region mustardramp.Region `json:"region" cbor:"1,keyasint"`
	// Part is the index of the group in its region, from 0.
	Part int `json:"part" cbor:"2,keyasint"`
}

// Holder identifies the process that requests and holds leases.
type Holder struct {
	Host        mustardramp.HostName    `json:"host" cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// Request asks a keeper for a lease.
type Request struct {
	Service mustardramp.ServiceName `json:"service" cbor:"1,keyasint"`
	Group   GroupID                 `json:"group" cbor:"2,keyasint"`
	Holder  Holder                  `json:"holder" cbor:"3,keyasint"`
	Number  Number                  `json:"number" cbor:"4,keyasint"`
	Rank    mustardramp.Rank        `json:"rank" cbor:"5,keyasint"`
	Caller  mustardramp.CallerName  `json:"caller" cbor:"6,keyasint"`
	// TimeToDeadline is relative, since the clocks of hosts differ; 0 means that
	// there is no deadline.
	TimeToDeadline time.Duration           `json:"left" cbor:"7,keyasint"`
	Idempotent     bool                    `json:"idempotent" cbor:"8,keyasint"`
	Tried          []mustardramp.BackendID `json:"tried" cbor:"9,keyasint"`
	Size           mustardramp.Bytes       `json:"size" cbor:"10,keyasint"`
	// Place is where the request entered the fleet.
	Place mustardramp.Place `json:"place" cbor:"11,keyasint"`
	// TimeToTarget is the time until the demand's target; 0 means that there is
	// no target.
	TimeToTarget time.Duration `json:"soon,omitempty" cbor:"14,keyasint,omitempty"`
	// IsFurtherAttempt, RequireHealthy and AlreadyCounted are copied from the
	// demand.
	IsFurtherAttempt bool `json:"repeat,omitempty" cbor:"12,keyasint,omitempty"`
	RequireHealthy   bool `json:"wary,omitempty" cbor:"13,keyasint,omitempty"`
	AlreadyCounted   bool `json:"counted,omitempty" cbor:"15,keyasint,omitempty"`
}

// Response answers a Request with a lease or a denial.
type Response struct {
	Backend mustardramp.Backend `json:"backend" cbor:"1,keyasint"`
	// Denial is nil when a lease was granted.
	Denial *mustardramp.Denial `json:"denial" cbor:"2,keyasint"`
	// Wait is the time that another request of the rank would wait.
	Wait time.Duration `json:"wait" cbor:"3,keyasint"`
	// Free is the number of free slots less the number of waiting requests, or nil
	// when the keeper does not state it.
	Free *int32 `json:"free,omitempty" cbor:"4,keyasint,omitempty"`
}

// Return ends a lease or withdraws a request.
type Return struct {
	Number  Number             `json:"number" cbor:"1,keyasint"`
	Result  mustardramp.Result `json:"result" cbor:"2,keyasint"`
	Latency time.Duration      `json:"latency" cbor:"3,keyasint"`
	// Leaving is true if the backend stated that it is leaving.
	Leaving bool `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
}

// Report tells a keeper which leases of one holder have ended and which are in
// use.
type Report struct {
	Service mustardramp.ServiceName `json:"service" cbor:"1,keyasint"`
	Holder  Holder                  `json:"holder" cbor:"2,keyasint"`
	Returns []Return                `json:"returns" cbor:"3,keyasint"`
	// Held lists the leases that are still in use. A lease expires when no
	// report has listed it for Term.
	Held []Number `json:"held" cbor:"4,keyasint"`
}

// Term is the time after which a lease expires unless a report renews it.
const Term = 5 * time.Second

// Peers calls the lease pools on other hosts.
type Peers interface {
	// Request returns the peer's response. After an error the peer may still have
	// granted a lease, which then expires.
	Request(ctx context.Context, host mustardramp.HostName, request Request) (Response, error)
	// Report may fail without harm, since leases expire.
	Report(ctx context.Context, host mustardramp.HostName, report Report) error
	// HandOver may fail without harm: the peer then learns from its own leases.
	HandOver(ctx context.Context, host mustardramp.HostName, handover Handover) error
}

// Host is a live entry host.
type Host struct {
	Name  mustardramp.HostName
	Place mustardramp.Place
}
