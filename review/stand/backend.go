package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend server began to work on.
type run struct {
	backend, id, method, target string
	bytes                       int
	at                          time.Time
}

// ledger holds all runs at the backend servers.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// list returns a copy of the runs.
func (l *ledger) list() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run{}, l.runs...)
}

// backend is a backend server that announces itself and answers requests as the
// protocol asks.
type backend struct {
	fleet    *fleet
	ledger   *ledger
	service  string
	id       string
	address  string
	zone     string
	born     int64
	slots    int
	work     time.Duration
	state    atomic.Value
	sequence atomic.Int64
	silent   atomic.Bool
	used     atomic.Int64
	server   http.Server
	done     chan struct{}
}

// startBackend starts a backend server with a number.
func (f *fleet) startBackend(l *ledger, service string, number int, work time.Duration) (*backend, error) {
	b := &backend{
		fleet: f, ledger: l, service: service, id: fmt.Sprintf("i-%s-%d", service, number),
		address: fmt.Sprintf("%s:%d", f.ip(100+number), f.port+portBackend),
		born:    time.Now().UnixMilli(), slots: 6, work: work, done: make(chan struct{}),
	}
	b.zone, _ = placeOf(number)
	b.state.Store("ready")
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return nil, err
	}
	b.server.Handler = b
	group.Go(func() error {
		_ = b.server.Serve(listener)
		return nil
	})
	group.Go(func() error {
		b.announce()
		return nil
	})
	f.record.add("backend-started", "id", b.id, "service", service, "address", b.address)
	return b, nil
}

// announce sends heartbeats until the backend server is stopped.
func (b *backend) announce() {
	for i := 0; ; i++ {
		if !b.silent.Load() {
			b.heartbeat(i)
		}
		select {
		case <-b.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// heartbeat sends one heartbeat to the control hosts in turn until one acknowledges
// it, and reports whether one did.
func (b *backend) heartbeat(first int) bool {
	body := fill("heartbeat.json", map[string]any{
		"Address": b.address, "Born": b.born, "Service": b.service, "Zone": b.zone, "Slots": b.slots,
		"State": b.state.Load(), "Sequence": b.sequence.Add(1),
	})
	for i := range b.fleet.controls {
		h := b.fleet.controls[(first+i)%len(b.fleet.controls)]
		if status, _ := b.fleet.call(h, names.Heartbeat+"&of="+b.id, body, time.Second); status == http.StatusOK {
			return true
		}
	}
	return false
}

// leave announces that the backend server drains, and returns when that is
// acknowledged, or false if no control host does so within the limit.
func (b *backend) leave(limit time.Duration) bool {
	b.state.Store("draining")
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		if b.heartbeat(i) {
			b.fleet.record.add("leaving-acknowledged", "id", b.id)
			return true
		}
	}
	b.fleet.record.add("leaving-not-acknowledged", "id", b.id)
	return false
}

func (b *backend) stop() {
	close(b.done)
	_ = b.server.Close()
}

// ServeHTTP answers one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names.Instance, b.id)
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expected := r.Header.Get(names.Expected); expected != "" && expected != b.id {
		b.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	if b.used.Add(1) > int64(b.slots) {
		b.used.Add(-1)
		b.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer b.used.Add(-1)
	body, err := io.ReadAll(r.Body)
	b.ledger.add(run{backend: b.id, id: id, method: r.Method, target: r.RequestURI, bytes: len(body), at: time.Now()})
	b.fleet.record.add("run", "request", id, "backend", b.id, "service", b.service, "target", r.RequestURI, "bytes", len(body), "error", err)
	time.Sleep(b.work)
	answer := bytes.Repeat([]byte(b.id+" "), 20)
	w.Header().Set(names.Stamp, fmt.Sprintf("%s.%d", b.id, len(answer)))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// refuse answers that the request was not run.
func (b *backend) refuse(w http.ResponseWriter, id string, status int) {
	b.fleet.record.add("rejected", "request", id, "backend", b.id, "status", status)
	w.Header().Set(names.NotRun, "1")
	w.Header().Set(names.Stamp, b.id)
	w.WriteHeader(status)
}
