package mustardramp

import (
	"context"
	"time"
)

// Demand describes an attempt that requests a slot from a service's Pool.
type Demand struct {
	Rank   Rank
	Caller CallerName
	// Deadline is the time after which the answer is useless to the caller.
	Deadline time.Time
	// Target is the time until which an answer has its full value, or zero.
	Target time.Time
	// Idempotent is true if the request may run more than once. Only then the
	// attempt may go to an ejected backend on trial.
	Idempotent bool
	// Tried lists the backends of earlier attempts, which are not chosen again.
	Tried []BackendID
	// Size is the length of the request body, or -1 if it is unknown.
	Size Bytes
	// IsFurtherAttempt is true if an earlier attempt may have reached a backend.
	IsFurtherAttempt bool
	// RequireHealthy is true if the pool must refuse the demand when every backend
	// is probably unhealthy, so that another group of backends is tried first.
	RequireHealthy bool
	// AlreadyCounted is true if a keeper has counted the request for the retry
	// budget already. Each request counts once, whatever its attempts.
	AlreadyCounted bool
	// Place is where the request entered the fleet. The zero value stands for an
	// unknown place.
	Place Place
}

// Slot is the right to one attempt at a backend.
type Slot interface {
	// Backend returns the backend that serves the attempt.
	Backend() Backend
	// Note reports what the backend stated about itself in its answer to the
	// attempt. It is called before Release, and at most once.
	Note(n Notice)
	// Withdrawn reports whether the backend has stated since the slot was granted
	// that it takes no requests of this host. The attempt must then not be sent.
	Withdrawn() bool
	// Release returns the slot and reports the result and latency of the
	// attempt. It must be called exactly once.
	Release(result Result, latency time.Duration)
}

// Notice is what a backend states about itself in an answer. The zero value states
// nothing.
type Notice struct {
	// Leaving is true if the incarnation that answered takes no new requests of
	// any host.
	Leaving bool
	// Quiet is how long the backend wants no requests of this host.
	Quiet time.Duration
}

// Pool grants the slots of a service's backends. Waiting demands of a more
// valuable rank are served first.
type Pool interface {
	// Acquire waits for a slot. The error is a *Denial if the pool refuses the
	// demand, or the error of the context.
	Acquire(ctx context.Context, demand Demand) (Slot, error)
	// Update replaces the pool's view of its backends.
	Update(standings []Standing)
}

// Ejector decides which backends receive requests, based on the results of
// callers' requests.
type Ejector interface {
	// Observe records a result. It is called on the request path and is safe for
	// concurrent use.
	Observe(o Observation)
	// Step returns the standings of the backends in the current roster of a
	// service. It is called by one goroutine, several times per second.
	Step(now time.Time, service ServiceName, roster []Backend) []Standing
}

// Token identifies an attempt in flight. The zero Token identifies none.
type Token uint64

// Watcher is implemented by an Ejector that tracks attempts in flight, so that it
// detects a backend that never answers before the attempts reach their deadlines.
type Watcher interface {
	// Start records the dispatch of an attempt and returns its token.
	Start(service ServiceName, backend BackendID, rank Rank, at time.Time) Token
	// Answered ends the tracking of an attempt at the first byte of the answer
	// or at the failure. It is called once for each token, before Observe.
	Answered(service ServiceName, backend BackendID, token Token)
}

// RetryBudget limits further attempts to a share of the first attempts.
type RetryBudget interface {
	// CountRequest counts the first attempt of a request.
	CountRequest(rank Rank, now time.Time)
	// Allow reports whether the budget allows a further attempt, and spends it.
	Allow(rank Rank, now time.Time) bool
}
