package mustardramp

import (
	"fmt"
	"time"
)

// Rule is the line of a contract that caused a refusal.
type Rule struct {
	// Service is the service of the contract, or empty if no contract applies.
	Service ServiceName `json:"service" cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the contract that was in force.
	Revision Revision `json:"revision" cbor:"2,keyasint,omitempty"`
	// Line is the line in the contract file, starting at 1. It is 0 if the rule
	// is a setting of the host.
	Line int `json:"line" cbor:"3,keyasint,omitempty"`
}

// String returns "service@revision:line", or "fleet" if no contract applies.
func (r Rule) String() string {
	if r.Service == "" {
		return "fleet"
	}
	return fmt.Sprintf("%s@%d:%d", r.Service, r.Revision, r.Line)
}

// Fact is a named value that led to a refusal, such as limit=6.
type Fact struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Value string `json:"value" cbor:"2,keyasint"`
}

// Denial is the error with which a component on the request path refuses a
// request. The entry host turns it into a Refusal.
type Denial struct {
	Kind RefusalKind
	// Reason explains the denial to the caller in one sentence.
	Reason string
	Facts  []Fact
	// RetryAfter is the time after which a retry is worthwhile, or zero if no
	// retry is.
	RetryAfter time.Duration
}

// Error returns "kind: reason".
func (d *Denial) Error() string {
	return d.Kind.String() + ": " + d.Reason
}

// Refusal describes a request that the fleet answered itself, in place of a
// backend.
type Refusal struct {
	ID      RefusalID   `json:"id" cbor:"1,keyasint"`
	Kind    RefusalKind `json:"kind" cbor:"2,keyasint"`
	Verdict Verdict     `json:"verdict" cbor:"3,keyasint"`
	Rule    Rule        `json:"rule" cbor:"4,keyasint"`
	Reason  string      `json:"reason" cbor:"5,keyasint"`
	Facts   []Fact      `json:"facts,omitempty" cbor:"6,keyasint,omitempty"`
	// RetryAfter is the time after which a retry is worthwhile, or zero if a
	// retry is useless or unsafe.
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"7,keyasint,omitempty"`
	At         time.Time     `json:"at" cbor:"8,keyasint"`
	Host       HostName      `json:"host" cbor:"9,keyasint"`
	Caller     CallerName    `json:"caller" cbor:"10,keyasint"`
	// Request is the caller's request ID, or empty if it sent none.
	Request string       `json:"request,omitempty" cbor:"11,keyasint,omitempty"`
	Key     OperationKey `json:"key,omitempty" cbor:"12,keyasint,omitempty"`
	Method  string       `json:"method" cbor:"13,keyasint"`
	Path    string       `json:"path" cbor:"14,keyasint"`
	Rank    Rank         `json:"rank" cbor:"15,keyasint"`
	// Backend is the backend of the last attempt, or empty if there was none.
	Backend  BackendID `json:"backend,omitempty" cbor:"16,keyasint,omitempty"`
	Attempts int       `json:"attempts" cbor:"17,keyasint"`
	// Idempotent is true if the contract allows the request to be sent again.
	Idempotent bool `json:"idempotent,omitempty" cbor:"18,keyasint,omitempty"`
}
