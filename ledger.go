package mustardramp

import (
	"context"
	"time"
)

// Digest is the SHA-256 digest of a request's method, request URI and body. It
// tells whether two requests with the same key are the same request.
type Digest [32]byte

// ClaimID identifies an operation in a ledger.
type ClaimID struct {
	Service ServiceName  `json:"service" cbor:"1,keyasint"`
	Caller  CallerName   `json:"caller" cbor:"2,keyasint"`
	Key     OperationKey `json:"key" cbor:"3,keyasint"`
}

// Claim requests the exclusive right to dispatch an operation once.
type Claim struct {
	ID     ClaimID `json:"id" cbor:"1,keyasint"`
	Digest Digest  `json:"digest" cbor:"2,keyasint"`
	// Host and Incarnation identify the claiming process.
	Host        HostName    `json:"host" cbor:"3,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"4,keyasint"`
	// Home is the region whose ledger group stores the key. It comes from the
	// contract, so that it is the same on every host that a duplicate reaches.
	Home Region `json:"home" cbor:"5,keyasint"`
	// Keep is the retention of the key after the outcome was recorded.
	Keep time.Duration `json:"keep" cbor:"6,keyasint"`
}

// ClaimState is the ledger's decision on a claim.
type ClaimState uint8

// The decisions on a claim.
const (
	// ClaimUnsettled means that an earlier dispatch has an unknown outcome.
	ClaimUnsettled ClaimState = iota
	// ClaimGranted means that only the claiming process may dispatch the
	// operation, once.
	ClaimGranted
	// ClaimRunning means that another process holds a claim on the operation.
	ClaimRunning
	// ClaimRan means that the operation ran; ClaimReply.Answer is its answer.
	ClaimRan
	// ClaimMismatch means that the key was used with a request of another Digest.
	ClaimMismatch
)

// RecordedResponse is a backend's response as the ledger stores it.
type RecordedResponse struct {
	// Status is the HTTP status code.
	Status int                 `json:"status" cbor:"1,keyasint"`
	Header map[string][]string `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte              `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Kept is false if the answer was too large to store.
	Kept bool `json:"kept" cbor:"4,keyasint"`
}

// ClaimReply is the ledger's reply to a Claim.
type ClaimReply struct {
	State ClaimState `json:"state" cbor:"1,keyasint"`
	// Attempt is the number of the granted claim, starting at 1. The settlement
	// of the claim must carry it.
	Attempt uint64 `json:"attempt" cbor:"2,keyasint"`
	// Answer is set if State is ClaimRan.
	Answer *RecordedResponse `json:"answer,omitempty" cbor:"3,keyasint,omitempty"`
}

// Settlement is the outcome of a granted claim. ID, Home, Host, Incarnation and
// Attempt identify the claim.
type Settlement struct {
	ID          ClaimID     `json:"id" cbor:"1,keyasint"`
	Home        Region      `json:"home" cbor:"2,keyasint"`
	Host        HostName    `json:"host" cbor:"3,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"4,keyasint"`
	Attempt     uint64      `json:"attempt" cbor:"5,keyasint"`
	Outcome     Outcome     `json:"outcome" cbor:"6,keyasint"`
	// Answer is set if Outcome is Ran.
	Answer *RecordedResponse `json:"answer,omitempty" cbor:"7,keyasint,omitempty"`
}

// Ledger ensures that at most one dispatch of an operation may run.
type Ledger interface {
	// Claim returns ClaimGranted only after a quorum has committed the claim. An
	// error means that the ledger was not reached or did not confirm the claim:
	// the operation must not be dispatched, and the ledger releases the claim if
	// it was granted but the reply was lost.
	Claim(ctx context.Context, claim Claim) (ClaimReply, error)
	// Settle records the outcome of a granted claim.
	Settle(ctx context.Context, settlement Settlement) error
}
