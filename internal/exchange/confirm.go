package exchange

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// stateCallTimeout bounds one request for the confirmed state. The host then asks
// another control host.
const stateCallTimeout = 500 * time.Millisecond

// statePollInterval is the time between two requests for the confirmed state. It
// is short, because a started host refuses all requests until it holds that state.
const statePollInterval = 150 * time.Millisecond

// confirmedState is the state that a quorum confirmed. If the asking host's
// changes differ, Records holds what that host needs to serve, so that it does not
// wait for the records to spread.
type confirmedState struct {
	State   State  `cbor:"1,keyasint"`
	Records []byte `cbor:"2,keyasint,omitempty"`
	// Hosts holds, with Records, the statements of the hosts that are known here.
	Hosts []byte `cbor:"3,keyasint,omitempty"`
}

// stateRequest asks for the confirmed state. Its Statement is the asking host's
// statement about itself and may be missing.
type stateRequest struct {
	State
	Statement mustardramp.Record `cbor:"3,keyasint,omitempty"`
	// Ready is set when the asking host serves.
	Ready bool `cbor:"4,keyasint,omitempty"`
}

// handleState answers with the state that a quorum confirms. It fails on a
// control host that is cut off from the others.
func (e *Exchange) handleState(ctx context.Context, r stateRequest) (confirmedState, error) {
	e.mu.Lock()
	e.publish(e.core.HandleStateRequest(e.now(), r))
	e.mu.Unlock()
	if err := e.options.Log.Confirm(ctx); err != nil {
		return confirmedState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Node.stateFor(r.State)
}

// confirmLog keeps the confirmation of a control host up to date until the context
// ends.
func (e *Exchange) confirmLog(ctx context.Context) error {
	for {
		begun := e.now()
		confirmCtx, cancel := context.WithTimeout(ctx, e.confirmTimeout(begun))
		err := e.options.Log.Confirm(confirmCtx)
		cancel()
		e.noteQuorumRead(begun, err)
		if !sleep(ctx, begun.Add(confirmInterval).Sub(e.now())) {
			return ctx.Err()
		}
	}
}

// confirmTimeout returns the time limit of a quorum read that begins now.
func (e *Exchange) confirmTimeout(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Node.confirmTimeout(now)
}

// noteQuorumRead records the result of a quorum read. When the confirmation is lost,
// the hosts that this one sends changes to are told at once.
func (e *Exchange) noteQuorumRead(begun time.Time, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wasReady := e.core.Node.Ready()
	e.core.Node.noteQuorumRead(e.now(), begun, err == nil)
	if wasReady == (err == nil) {
		return
	}
	klog.InfoS("quorum", "confirmed", err == nil, "cause", err)
	e.publish(nil)
}

// pollState asks control hosts in turn for the confirmed state, when the core
// asks for it, until the context ends.
func (e *Exchange) pollState(ctx context.Context) error {
	for {
		e.mu.Lock()
		control, next := e.core.NextStatePoll(e.now())
		e.mu.Unlock()
		if control.IsValid() {
			e.requestState(ctx, control)
		}
		if !e.awaitStatePoll(ctx, next) {
			return ctx.Err()
		}
	}
}

// awaitStatePoll waits until a time, or until the next poll is due if that is
// earlier. It reports whether the context was still active at the end.
func (e *Exchange) awaitStatePoll(ctx context.Context, next time.Time) bool {
	e.mu.Lock()
	e.statePollAt = next
	e.mu.Unlock()
	timer := time.NewTimer(next.Sub(e.now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-e.statePollWake:
	}
	return true
}

// advanceStatePoll wakes pollState if the next poll has become due earlier than it
// waits for. The caller holds e.mu.
func (e *Exchange) advanceStatePoll() {
	if !e.core.StatePollDue().Before(e.statePollAt) {
		return
	}
	select {
	case e.statePollWake <- struct{}{}:
	default:
	}
}

// IsCurrent reports whether a control host confirmed the changes of this entry host not
// long ago.
func (e *Exchange) IsCurrent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.IsCurrent(e.now())
}

func (e *Exchange) stateRequest() stateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.stateRequest()
}

// requestState asks one control host for the confirmed state and merges it.
func (e *Exchange) requestState(ctx context.Context, control netip.AddrPort) {
	client := &link.Client{Address: control, TLS: e.options.TLS, Timeout: stateCallTimeout}
	defer func() { _ = client.Close() }()
	reply, err := link.Call[confirmedState](ctx, client, methodState, e.stateRequest())
	e.mu.Lock()
	defer e.mu.Unlock()
	wasReady, silence := e.core.Node.Ready(), e.core.ControlSilence(e.now())
	if err != nil {
		klog.V(1).InfoS("quorum-read-failed", "host", control, "cause", err)
		if wasReady && !e.controlSilent {
			e.controlSilent = true
			klog.InfoS("control-contact-lost", "ms", silence.Milliseconds(), "host", control, "cause", err)
		}
		return
	}
	accepted, err := e.core.HandleState(e.now(), control, reply)
	if err != nil {
		klog.ErrorS(err, "response-rejected", "peer", control)
		return
	}
	e.publish(accepted)
	if !wasReady && e.core.Node.Ready() {
		klog.InfoS("configuration-confirmed", "index", e.core.Node.Newest())
	}
	if e.controlSilent || len(accepted) > 0 && wasReady {
		e.controlSilent = false
		klog.InfoS("control-contact-restored", "ms", silence.Milliseconds(), "host", control, "index", e.core.Node.Newest(), "records", len(accepted))
	}
}

// sleep waits for d and reports whether the context was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
