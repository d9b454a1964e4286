package exchange

import (
	"context"
	"sync"

	"github.com/mustardramp/mustardramp"
)

// watchers calls functions for news, one at a time. A record that is replaced
// before its turn is skipped, so that the list is bounded by the store.
type watchers struct {
	mu    sync.Mutex
	fns   [mustardramp.RecordKindCount][]func(mustardramp.Record)
	queue []ref
	// listed holds the refs of queue.
	listed map[ref]bool
	wake   chan struct{}
	// calling is held while a function runs.
	calling sync.Mutex
}

// Watch calls fn for each record of the kind that replaced an older one, one
// at a time, starting with those already held. The first calls are made before
// Watch returns, the others while Run runs.
func (e *Exchange) Watch(kind mustardramp.RecordKind, fn func(mustardramp.Record)) {
	e.watchers.calling.Lock()
	defer e.watchers.calling.Unlock()
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
	w.fns[kind] = append(w.fns[kind], fn)
}

// add lists news for the watchers.
func (w *watchers) add(news []mustardramp.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listed == nil {
		w.listed = make(map[ref]bool)
	}
	for _, r := range news {
		at := refOf(r)
		if len(w.fns[r.Kind]) > 0 && !w.listed[at] {
			w.listed[at] = true
			w.queue = append(w.queue, at)
		}
	}
	w.signal()
}

// signal wakes run. The lock is held.
func (w *watchers) signal() {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watchers) woken() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signal()
	return w.wake
}

// run calls the functions until the context ends.
func (w *watchers) run(ctx context.Context, e *Exchange) error {
	wake := w.woken()
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

// callNext calls the functions for the first listed record.
func (w *watchers) callNext(e *Exchange) bool {
	w.calling.Lock()
	defer w.calling.Unlock()
	at, fns := w.next()
	if fns == nil {
		return false
	}
	e.mu.Lock()
	r, held := e.core.Node.store.get(at)
	e.mu.Unlock()
	if !held {
		return true
	}
	for _, fn := range fns {
		fn(r)
	}
	return true
}

func (w *watchers) next() (ref, []func(mustardramp.Record)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.queue = nil
		return ref{}, nil
	}
	at := w.queue[0]
	w.queue = w.queue[1:]
	delete(w.listed, at)
	return at, w.fns[at.kind]
}
