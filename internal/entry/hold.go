package entry

import "time"

const (
	// startTime is the time after the start of a host in which requests are held until
	// the host has its configuration. Control hosts that start at the same time confirm it
	// within a second. A host that lacks it for longer is cut off, and its callers are
	// served sooner elsewhere.
	startTime = 3 * time.Second
	// maxHoldTime bounds the time for which one request is held.
	maxHoldTime = time.Second
	// holdDivisor is the part of the caller's time that holding takes at most. The rest
	// is for the work, or for another attempt of the caller.
	holdDivisor = 3
)

// awaitContracts holds a request of a started host until the host has its first
// contracts. It reports whether it has them. After a restart of the whole fleet no other
// host could serve the request sooner, and many callers do not come back after a refusal.
func (x *exchange) awaitContracts() bool {
	limit := x.holdTime()
	if x.h.config.Started == nil || limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	started := x.h.config.Clock.Now()
	defer func() { x.slotWait += x.h.config.Clock.Now().Sub(started) }()
	select {
	case <-x.h.config.Started:
		return true
	case <-timer.C:
	case <-x.r.Context().Done():
	case <-x.h.stopped:
	}
	return false
}

// holdTime returns the time for which the request may be held.
func (x *exchange) holdTime() time.Duration {
	limit := min(maxHoldTime, x.h.created.Add(startTime).Sub(x.arrived))
	if stated, err := x.statedTimeout(); err == nil && stated != nil {
		limit = min(limit, *stated/holdDivisor)
	}
	return limit
}

// refuseNew makes the handler refuse new requests, and those that it holds.
func (h *Handler) refuseNew() {
	h.stopping.Store(true)
	h.stopOnce.Do(func() { close(h.stopped) })
}
