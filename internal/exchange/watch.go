package exchange

import (
	"context"
	"sync"

	"github.com/mustardramp/mustardramp"
)

// watchers calls the functions passed to Watch for accepted records, one at a
// time. It queues keys and reads a record only when it calls the functions, so that
// versions replaced by then are skipped and the queue is no longer than the store.
type watchers struct {
	mu        sync.Mutex
	callbacks [mustardramp.RecordKindCount][]func(mustardramp.Record)
	queue     []recordRef
	// queued holds the keys in queue.
	queued map[recordRef]bool
	wake   chan struct{}
	// callMu is held while a callback runs.
	callMu sync.Mutex
}

// Watch calls fn for each record of the kind that is new or replaced an older one,
// one at a time, starting with those already held. The first calls are made before
// Watch returns, the others while Run runs.
func (e *Exchange) Watch(kind mustardramp.RecordKind, fn func(mustardramp.Record)) {
	e.watchers.callMu.Lock()
	defer e.watchers.callMu.Unlock()
	e.mu.Lock()
	held := e.core.Node.Records(kind)
	e.watchers.watch(kind, fn)
	e.mu.Unlock()
	for _, r := range held {
		fn(r)
	}
}

func (w *watchers) watch(kind mustardramp.RecordKind, fn func(mustardramp.Record)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks[kind] = append(w.callbacks[kind], fn)
}

// enqueue queues accepted records for the watchers of their kinds.
func (w *watchers) enqueue(accepted []mustardramp.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued == nil {
		w.queued = make(map[recordRef]bool)
	}
	for _, r := range accepted {
		ref := refOf(r)
		if len(w.callbacks[r.Kind]) > 0 && !w.queued[ref] {
			w.queued[ref] = true
			w.queue = append(w.queue, ref)
		}
	}
	w.signal()
}

// signal wakes run. The caller holds w.mu.
func (w *watchers) signal() {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watchers) wakeChan() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signal()
	return w.wake
}

// run calls the callbacks until the context ends.
func (w *watchers) run(ctx context.Context, e *Exchange) error {
	wake := w.wakeChan()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
		for more := true; more && ctx.Err() == nil; {
			more = w.callNext(e)
		}
	}
}

// callNext calls the callbacks for the first queued record. It reports whether
// there was one.
func (w *watchers) callNext(e *Exchange) bool {
	w.callMu.Lock()
	defer w.callMu.Unlock()
	ref, fns := w.dequeue()
	if fns == nil {
		return false
	}
	e.mu.Lock()
	r, held := e.core.Node.store.get(ref)
	e.mu.Unlock()
	if !held {
		return true
	}
	for _, fn := range fns {
		fn(r)
	}
	return true
}

func (w *watchers) dequeue() (recordRef, []func(mustardramp.Record)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.queue = nil
		return recordRef{}, nil
	}
	ref := w.queue[0]
	w.queue = w.queue[1:]
	delete(w.queued, ref)
	return ref, w.callbacks[ref.kind]
}
