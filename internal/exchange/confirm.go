package exchange

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// confirmedState is what a quorum confirmed. Changes holds the changes where they
// differ from those of the host that asked, so that it need not wait for them
// to spread.
type confirmedState struct {
	State   State  `cbor:"1,keyasint"`
	Changes []byte `cbor:"2,keyasint,omitempty"`
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
	reply.Changes, err = e.core.Node.packChanges()
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
		if control := e.controlHosts(); len(control) > 0 {
			e.confirmFrom(ctx, control[turn%len(control)])
		}
		if !sleep(ctx, recheck) {
			return ctx.Err()
		}
	}
	klog.InfoS("configuration-current", "index", e.State().Newest)
	return nil
}

func (e *Exchange) controlHosts() []membership.Host {
	var out []membership.Host
	for _, m := range e.Members() {
		if m.Host.Role == membership.Control && m.Standing != membership.Lost {
			out = append(out, m.Host)
		}
	}
	return out
}

func (e *Exchange) confirmFrom(ctx context.Context, control membership.Host) {
	client := &link.Client{Address: control.Address, TLS: e.options.TLS, Timeout: callTime}
	defer func() { _ = client.Close() }()
	reply, err := link.Call[confirmedState](ctx, client, methodState, e.State())
	if err != nil {
		klog.V(1).InfoS("quorum-read-failed", "host", control.Name, "cause", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	records, err := e.core.Node.unpackChanges(reply.Changes)
	if err != nil {
		klog.ErrorS(err, "response-unreadable", "peer", control.Name)
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
