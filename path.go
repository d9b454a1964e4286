package mustardramp

import (
	"context"
	"time"
)

// Demand is what one attempt asks of a service's pool of backends.
type Demand struct {
	Rank   Rank
	Caller CallerName
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// Target is the time up to which an answer has its full value, or zero.
	Target time.Time
	// Idempotent work may be tried at backends on trial.
	Idempotent bool
	// Tried lists the backends of earlier attempts; none is chosen again.
	Tried []BackendID
	// Size is the request's length in bytes, or -1 when it is not known.
	Size Bytes
	// Repeat is true when an earlier attempt may have reached a backend.
	Repeat bool
	// Wary demands are turned away where every backend is likely to be ill, so
	// that another group is tried first.
	Wary bool
	// Counted is true when a keeper was asked for the request before: it counts
	// once among the requests of the service.
	Counted bool
	// Place is where the request entered the fleet; its zero value is not
	// known.
	Place Place
}

// Slot is the right to one attempt at a backend.
type Slot interface {
	// Backend returns the backend to send the attempt to.
	Backend() Backend
	// Release ends the attempt. It is called exactly once.
	Release(result Result, latency time.Duration)
}

// Pool gives out the slots of one service's backends, most valuable work
// first.
type Pool interface {
	// Acquire waits for a slot. The error is a *Denial when the pool turns
	// the demand away, or the context's error.
	Acquire(ctx context.Context, demand Demand) (Slot, error)
	// Update replaces the pool's view of its backends.
	Update(standings []Standing)
}

// Ejector decides which backends receive work, from the outcomes of real work.
type Ejector interface {
	// Observe takes in one outcome. It is called on the request path by many
	// goroutines.
	Observe(o Observation)
	// Step takes in the present roster of a service and returns the decided
	// standings. It is called by one goroutine, several times a second.
	Step(now time.Time, service ServiceName, roster []Backend) []Standing
}

// Token names an attempt in flight. 0 names none.
type Token uint64

// Watcher is an Ejector that counts the attempts in flight, so that a backend
// that never answers shows before the deadlines of its attempts.
type Watcher interface {
	// Start counts an attempt that is dispatched now and returns its token.
	Start(service ServiceName, backend BackendID, rank Rank, at time.Time) Token
	// Answered ends what Start began, at the first byte of the answer or at
	// the failure. It is called once, before Observe.
	Answered(service ServiceName, backend BackendID, token Token)
}

// RetryBudget bounds further attempts to a share of the fresh traffic.
type RetryBudget interface {
	// Fresh counts a first attempt.
	Fresh(rank Rank, now time.Time)
	// Allow spends one further attempt, or reports false.
	Allow(rank Rank, now time.Time) bool
}
