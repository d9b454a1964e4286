// Package lease shares the slots of a service's backends among hosts. The
// backends are divided into groups; one host keeps each group and grants leases
// of its slots, so that the ranks of all hosts meet in one queue and backends
// need not shed. Any host grants leases of any group when it is asked: who is
// asked follows from the hosts that are alive, and a double grant under a
// partition costs no more than a shed.
package lease

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Number names an ask or its lease among those of one host's incarnation.
type Number uint64

// GroupID names a group of backends of one service.
type GroupID struct {
	Region mustardramp.Region `json:"region" cbor:"1,keyasint"`
	// Part counts the groups of the region from 0.
	Part int `json:"part" cbor:"2,keyasint"`
}

// Holder is the process that asks for leases.
type Holder struct {
	Host        mustardramp.HostName    `json:"host" cbor:"1,keyasint"`
	Incarnation mustardramp.Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// Ask asks a keeper for a lease.
type Ask struct {
	Service mustardramp.ServiceName `json:"service" cbor:"1,keyasint"`
	Group   GroupID                 `json:"group" cbor:"2,keyasint"`
	Holder  Holder                  `json:"holder" cbor:"3,keyasint"`
	Number  Number                  `json:"number" cbor:"4,keyasint"`
	Rank    mustardramp.Rank        `json:"rank" cbor:"5,keyasint"`
	Caller  mustardramp.CallerName  `json:"caller" cbor:"6,keyasint"`
	// Left is the time until the deadline, since clocks differ; 0 means that
	// there is none.
	Left       time.Duration           `json:"left" cbor:"7,keyasint"`
	Idempotent bool                    `json:"idempotent" cbor:"8,keyasint"`
	Tried      []mustardramp.BackendID `json:"tried" cbor:"9,keyasint"`
	Size       mustardramp.Bytes       `json:"size" cbor:"10,keyasint"`
	// Place is where the request entered the fleet.
	Place mustardramp.Place `json:"place" cbor:"11,keyasint"`
	// Soon is the time left to the demand's target; 0 means that there is none.
	Soon time.Duration `json:"soon,omitempty" cbor:"14,keyasint,omitempty"`
	// Repeat, Wary and Counted are those of the demand.
	Repeat  bool `json:"repeat,omitempty" cbor:"12,keyasint,omitempty"`
	Wary    bool `json:"wary,omitempty" cbor:"13,keyasint,omitempty"`
	Counted bool `json:"counted,omitempty" cbor:"15,keyasint,omitempty"`
}

// Grant answers an Ask with a lease or a denial.
type Grant struct {
	Backend mustardramp.Backend `json:"backend" cbor:"1,keyasint"`
	// Denial is nil when a lease was granted.
	Denial *mustardramp.Denial `json:"denial" cbor:"2,keyasint"`
	// Wait is the time that a further ask of the rank would wait.
	Wait time.Duration `json:"wait" cbor:"3,keyasint"`
}

// Return ends a lease, or withdraws an ask.
type Return struct {
	Number  Number             `json:"number" cbor:"1,keyasint"`
	Result  mustardramp.Result `json:"result" cbor:"2,keyasint"`
	Latency time.Duration      `json:"latency" cbor:"3,keyasint"`
}

// Report tells a keeper about the leases of one holder.
type Report struct {
	Service mustardramp.ServiceName `json:"service" cbor:"1,keyasint"`
	Holder  Holder                  `json:"holder" cbor:"2,keyasint"`
	Returns []Return                `json:"returns" cbor:"3,keyasint"`
	// Held lists the leases that are still in use. A lease that no report
	// lists for Term ends.
	Held []Number `json:"held" cbor:"4,keyasint"`
}

// Term is how long a lease lasts without a report that lists it.
const Term = 5 * time.Second

// Peers calls the lease pools of other hosts.
type Peers interface {
	// Ask returns the peer's answer. After an error a lease may have been
	// granted; it ends by itself.
	Ask(ctx context.Context, host mustardramp.HostName, ask Ask) (Grant, error)
	// Report is lost without harm: leases end by themselves.
	Report(ctx context.Context, host mustardramp.HostName, report Report) error
	// Brief is lost without harm: the peer then learns by its own leases.
	Brief(ctx context.Context, host mustardramp.HostName, briefing Briefing) error
}

// Host is an entry host that is alive.
type Host struct {
	Name  mustardramp.HostName
	Place mustardramp.Place
}
