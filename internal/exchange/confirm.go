package exchange

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
)

// stateTime bounds one question for the present state: the host then asks another
// control host.
const stateTime = 500 * time.Millisecond

// askPause is the pause between two questions for the present state: a started
// host refuses all requests until it knows it.
const askPause = 150 * time.Millisecond

// confirmedState is what a quorum confirmed. Records holds what a started host
// needs to serve when its changes differ, so that it need not wait for it to
// spread.
type confirmedState struct {
	State   State  `cbor:"1,keyasint"`
	Records []byte `cbor:"2,keyasint,omitempty"`
}

// question asks for the confirmed state. Its Statement is the asking host's about
// itself, and may be missing.
type question struct {
	State
	Statement mustardramp.Record `cbor:"3,keyasint,omitempty"`
}

// confirmed answers with the state that a quorum confirms. A control host that
// is cut off from the others has none to give.
func (e *Exchange) confirmed(ctx context.Context, q question) (confirmedState, error) {
	e.mu.Lock()
	e.took(e.core.Asked(e.now(), q))
	e.mu.Unlock()
	if err := e.options.Log.Confirm(ctx); err != nil {
		return confirmedState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Node.stateFor(q.State)
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

// inquire asks control hosts in turn for the confirmed state, as the core
// decides.
func (e *Exchange) inquire(ctx context.Context) error {
	for {
		e.mu.Lock()
		control, next := e.core.Inquire(e.now())
		e.mu.Unlock()
		if control.IsValid() {
			e.confirmFrom(ctx, control)
		}
		if !sleep(ctx, next.Sub(e.now())) {
			return ctx.Err()
		}
	}
}

func (e *Exchange) question() question {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.question()
}

func (e *Exchange) confirmFrom(ctx context.Context, control netip.AddrPort) {
	client := &link.Client{Address: control, TLS: e.options.TLS, Timeout: stateTime}
	defer func() { _ = client.Close() }()
	reply, err := link.Call[confirmedState](ctx, client, methodState, e.question())
	e.mu.Lock()
	defer e.mu.Unlock()
	wasReady, unheard := e.core.Node.Ready(), e.core.Unheard(e.now())
	if err != nil {
		klog.V(1).InfoS("quorum-read-failed", "host", control, "cause", err)
		if wasReady && !e.unheard {
			e.unheard = true
			klog.InfoS("control-unheard", "ms", unheard.Milliseconds(), "asked", control, "cause", err)
		}
		return
	}
	news, err := e.core.Told(e.now(), control, reply)
	if err != nil {
		klog.ErrorS(err, "response-unreadable", "peer", control)
		return
	}
	e.took(news)
	if !wasReady && e.core.Node.Ready() {
		klog.InfoS("configuration-current", "index", e.core.Node.Newest())
	}
	if e.unheard || len(news) > 0 && wasReady {
		e.unheard = false
		klog.InfoS("control-heard-again", "ms", unheard.Milliseconds(), "host", control, "index", e.core.Node.Newest(), "news", len(news))
	}
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
