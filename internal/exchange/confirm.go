package exchange

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// stateTime bounds one question for the present state: a started host then asks
// another control host.
const stateTime = 500 * time.Millisecond

// askPause is the pause between two questions of a started host for the present
// state: it refuses all requests until it knows it.
const askPause = 150 * time.Millisecond

// confirmedState is what a quorum confirmed. Records holds what a started host
// needs to serve when its changes differ, so that it need not wait for it to
// spread.
type confirmedState struct {
	State   State  `cbor:"1,keyasint"`
	Records []byte `cbor:"2,keyasint,omitempty"`
}

// confirmed answers with the state that a quorum confirms. A control host that
// is cut off from the others has none to give.
func (e *Exchange) confirmed(ctx context.Context, theirs State) (confirmedState, error) {
	if err := e.options.Log.Confirm(ctx); err != nil {
		return confirmedState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := confirmedState{State: e.core.Node.State()}
	if reply.State == theirs {
		return reply, nil
	}
	var err error
	reply.Records, err = e.core.Node.packStart()
	return reply, err
}

// confirmLog keeps up the readiness of a control host.
func (e *Exchange) confirmLog(ctx context.Context) error {
	for {
		confirmCtx, cancel := context.WithTimeout(ctx, confirmPause)
		err := e.options.Log.Confirm(confirmCtx)
		cancel()
		e.mu.Lock()
		was := e.core.Node.Ready()
		e.core.Node.SetConfirmed(err == nil)
		e.mu.Unlock()
		if was != (err == nil) {
			klog.InfoS("quorum", "confirmed", err == nil, "cause", err)
		}
		if !sleep(ctx, confirmPause) {
			return ctx.Err()
		}
	}
}

// confirmFromControl asks control hosts in turn for the confirmed state until
// this host is ready.
func (e *Exchange) confirmFromControl(ctx context.Context) error {
	for turn := 0; !e.Ready(); turn++ {
		if control := e.controlAddresses(); len(control) > 0 {
			e.confirmFrom(ctx, control[turn%len(control)])
		}
		if !sleep(ctx, askPause) {
			return ctx.Err()
		}
	}
	klog.InfoS("configuration-current", "index", e.State().Newest)
	return nil
}

// controlAddresses lists the control hosts that are known and the seeds, which
// may be the only way to one after a start.
func (e *Exchange) controlAddresses() []netip.AddrPort {
	e.mu.Lock()
	out := slices.Clone(e.options.Seeds)
	e.mu.Unlock()
	for _, m := range e.Members() {
		if m.Host.Role == membership.Control && m.Standing != membership.Lost && !slices.Contains(out, m.Host.Address) {
			out = append(out, m.Host.Address)
		}
	}
	return out
}

func (e *Exchange) confirmFrom(ctx context.Context, control netip.AddrPort) {
	client := &link.Client{Address: control, TLS: e.options.TLS, Timeout: stateTime}
	defer func() { _ = client.Close() }()
	reply, err := link.Call[confirmedState](ctx, client, methodState, e.State())
	if err != nil {
		klog.V(1).InfoS("quorum-read-failed", "host", control, "cause", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	records, err := e.core.Node.unpackStart(reply.Records)
	if err != nil {
		klog.ErrorS(err, "response-unreadable", "peer", control)
		return
	}
	e.took(e.core.Offer(e.now(), records...))
	e.core.Node.Confirm(reply.State)
}

// sleep waits, and reports false when the context ended first.
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
