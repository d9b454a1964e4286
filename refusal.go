package mustardramp

import (
	"fmt"
	"time"
)

// Rule is the line of a contract that a refusal follows from.
type Rule struct {
	// Service is the contract's service, or empty when no contract applies.
	Service ServiceName `json:"service" cbor:"1,keyasint,omitempty"`
	// Revision is the contract's revision that was in force.
	Revision Revision `json:"revision" cbor:"2,keyasint,omitempty"`
	// Line is the line in the contract's file, from 1; 0 when the rule is a
	// setting of the host.
	Line int `json:"line" cbor:"3,keyasint,omitempty"`
}

// String returns "service@revision:line", or "fleet" when no contract applies.
func (r Rule) String() string {
	if r.Service == "" {
		return "fleet"
	}
	return fmt.Sprintf("%s@%d:%d", r.Service, r.Revision, r.Line)
}

// Fact is one number or name that led to a refusal, such as limit=6.
type Fact struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Value string `json:"value" cbor:"2,keyasint"`
}

// Denial is what a part of the request path says when it turns a request
// away. The entry host completes it to a Refusal.
type Denial struct {
	Kind RefusalKind
	// Reason is one sentence in plain words.
	Reason string
	Facts  []Fact
	// RetryAfter is zero when a retry is not sensible.
	RetryAfter time.Duration
}

// Error returns the kind and the reason.
func (d *Denial) Error() string {
	return d.Kind.String() + ": " + d.Reason
}

// Refusal is an answer that the fleet made itself in place of a backend.
type Refusal struct {
	ID      RefusalID   `json:"id" cbor:"1,keyasint"`
	Kind    RefusalKind `json:"kind" cbor:"2,keyasint"`
	Verdict Verdict     `json:"verdict" cbor:"3,keyasint"`
	Rule    Rule        `json:"rule" cbor:"4,keyasint"`
	Reason  string      `json:"reason" cbor:"5,keyasint"`
	Facts   []Fact      `json:"facts,omitempty" cbor:"6,keyasint,omitempty"`
	// RetryAfter is zero when a retry is not sensible or not safe.
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"7,keyasint,omitempty"`
	At         time.Time     `json:"at" cbor:"8,keyasint"`
	Host       HostName      `json:"host" cbor:"9,keyasint"`
	Caller     CallerName    `json:"caller" cbor:"10,keyasint"`
	// Request is the caller's own request id, if it sent one.
	Request string       `json:"request,omitempty" cbor:"11,keyasint,omitempty"`
	Key     OperationKey `json:"key,omitempty" cbor:"12,keyasint,omitempty"`
	Method  string       `json:"method" cbor:"13,keyasint"`
	Path    string       `json:"path" cbor:"14,keyasint"`
	Rank    Rank         `json:"rank" cbor:"15,keyasint"`
	// Backend is the last backend that was tried, or empty.
	Backend  BackendID `json:"backend,omitempty" cbor:"16,keyasint,omitempty"`
	Attempts int       `json:"attempts" cbor:"17,keyasint"`
	// Idempotent is true when the contract allows to send the request again.
	Idempotent bool `json:"idempotent,omitempty" cbor:"18,keyasint,omitempty"`
}
