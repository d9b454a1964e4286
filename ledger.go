package mustardramp

import (
	"context"
	"time"
)

// Digest is the SHA-256 digest of a request's method, path and body.
type Digest [32]byte

// ClaimID names an operation in a ledger.
type ClaimID struct {
	Service ServiceName  `json:"service" cbor:"1,keyasint"`
	Caller  CallerName   `json:"caller" cbor:"2,keyasint"`
	Key     OperationKey `json:"key" cbor:"3,keyasint"`
}

// Claim asks for the sole right to dispatch an operation once.
type Claim struct {
	ID     ClaimID `json:"id" cbor:"1,keyasint"`
	Digest Digest  `json:"digest" cbor:"2,keyasint"`
	// Host and Incarnation name the process that asks.
	Host        HostName    `json:"host" cbor:"3,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"4,keyasint"`
	// Home is the region whose ledger group holds the key. It comes from the
	// contract, so that it is the same wherever a duplicate arrives.
	Home Region `json:"home" cbor:"5,keyasint"`
	// Keep is for how long the key is kept after its outcome.
	Keep time.Duration `json:"keep" cbor:"6,keyasint"`
}

// ClaimState is the ledger's answer to a claim.
type ClaimState uint8

// The answers to a claim.
const (
	// ClaimUnsettled means that an earlier sending has an unknown outcome.
	ClaimUnsettled ClaimState = iota
	// ClaimGranted means that the caller alone may dispatch, once.
	ClaimGranted
	// ClaimRunning means that another process holds the claim.
	ClaimRunning
	// ClaimRan means that the operation ran; the record holds its answer.
	ClaimRan
	// ClaimMismatch means that the key was used with another request.
	ClaimMismatch
)

// Answer is a backend's answer as the ledger keeps it.
type Answer struct {
	Status int                 `json:"status" cbor:"1,keyasint"`
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Kept is false when the answer was too large to keep.
	Kept bool `json:"kept" cbor:"4,keyasint"`
}

// ClaimReply is a ledger's answer to a claim.
type ClaimReply struct {
	State ClaimState `json:"state" cbor:"1,keyasint"`
	// Attempt is the number of the granted claim, from 1; it is named again
	// when the claim is settled.
	Attempt uint64 `json:"attempt" cbor:"2,keyasint"`
	// Answer is set when State is ClaimRan.
	Answer *Answer `json:"answer,omitempty" cbor:"3,keyasint,omitempty"`
}

// Settlement records the outcome of a granted claim.
type Settlement struct {
	ID          ClaimID     `json:"id" cbor:"1,keyasint"`
	Home        Region      `json:"home" cbor:"2,keyasint"`
	Host        HostName    `json:"host" cbor:"3,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"4,keyasint"`
	Attempt     uint64      `json:"attempt" cbor:"5,keyasint"`
	Outcome     Outcome     `json:"outcome" cbor:"6,keyasint"`
	// Answer is set when Outcome is Ran.
	Answer *Answer `json:"answer,omitempty" cbor:"7,keyasint,omitempty"`
}

// Ledger grants each operation at most one dispatch that may run.
type Ledger interface {
	// Claim commits a claim by a quorum before it returns ClaimGranted. An
	// error means that the ledger was not reached or did not confirm: nothing
	// may be dispatched, and the ledger frees the claim if it was granted
	// unheard.
	Claim(ctx context.Context, claim Claim) (ClaimReply, error)
	// Settle records the outcome of a granted claim.
	Settle(ctx context.Context, settlement Settlement) error
}
