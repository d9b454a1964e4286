// Package quota enforces the quotas of workspaces over all entry hosts. One host keeps
// each workspace that is in use: it holds the token bucket and lends tokens to the
// hosts that admit the requests. A host may keep a workspace while it has the votes of
// a majority of the hosts, so that no two hosts lend the tokens of one workspace,
// whatever connections between hosts are lost. docs/design/quotas.md gives the reasons
// and the figures.
package quota

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Request asks a keeper for tokens.
type Request struct {
	Workspace mustardramp.WorkspaceName `json:"workspace" cbor:"1,keyasint"`
	Host      mustardramp.HostName      `json:"host" cbor:"2,keyasint"`
	// Want is the number of requests that wait, and Ahead the number of tokens for those
	// that are expected soon. Unused is how many of the tokens lent before no request
	// used. All are 0 or more.
	Want   int `json:"want" cbor:"3,keyasint,omitempty"`
	Ahead  int `json:"ahead" cbor:"8,keyasint,omitempty"`
	Unused int `json:"unused" cbor:"4,keyasint,omitempty"`
	// Rate and Burst are the quota in force at the host that asks, and Version is the
	// log index of its routing table.
	Rate    float64           `json:"rate" cbor:"5,keyasint,omitempty"`
	Burst   int               `json:"burst" cbor:"6,keyasint,omitempty"`
	Version mustardramp.Index `json:"version" cbor:"7,keyasint,omitempty"`
}

// Response answers a Request.
type Response struct {
	// Kept is true if the host keeps the workspace. Otherwise Keeper names the host that
	// does, if it is known.
	Kept    bool                 `json:"kept" cbor:"1,keyasint,omitempty"`
	Keeper  mustardramp.HostName `json:"keeper" cbor:"2,keyasint,omitempty"`
	Granted int                  `json:"granted" cbor:"3,keyasint,omitempty"`
	// RetryIn is the time for which the host must refuse by itself, if fewer tokens
	// were granted than wanted.
	RetryIn time.Duration `json:"retry" cbor:"4,keyasint,omitempty"`
}

// Peers calls the pools on other hosts.
type Peers interface {
	// Ask may fail after tokens were lent; these then count as used.
	Ask(ctx context.Context, host mustardramp.HostName, request Request) (Response, error)
	// Vote may fail after the vote was given; it then lasts VoteTerm.
	Vote(ctx context.Context, host mustardramp.HostName, ballot Ballot) (Vote, error)
}

// Usage describes a workspace that this host admits requests of or keeps.
type Usage struct {
	Name  mustardramp.WorkspaceName
	Quota mustardramp.Quota
	// Admitted and Refused count the requests of this host since its start, or since
	// the workspace was last unused for an hour.
	Admitted, Refused int64
	// Keeper is the host that last lent tokens to this host, or empty, and Age the time
	// since its last answer.
	Keeper mustardramp.HostName
	Age    time.Duration
}
