package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond

// server is an upstream that keeps to the platform's pages.
type server struct {
	fleet *fleet
	// ID, Address, Service, Zone and Slots are what its heartbeats say.
	ID, Address, Service, Zone string
	Slots                      int
	Born                       int64
	State                      string
	Sequence                   int
	// handle runs a request that has a slot and writes the answer. The default works for
	// the time that the path names last, in milliseconds, and answers 200.
	handle func(w http.ResponseWriter, r *http.Request)

	http  http.Server
	slots chan struct{}
	stop  chan struct{}
	mu    sync.Mutex
	// waiting is the number of requests that have or wait for a slot.
	waiting int
}

// queueLength is the number of requests that may wait for a slot at a server.
const queueLength = 24

func (f *fleet) startServer(service, zone, ip string, slots int) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := f.newServer(service, zone, listener.Addr(), slots)
	s.http.Handler = http.HandlerFunc(s.serve)
	go func() { _ = s.http.Serve(listener) }()
	go s.announce()
	return s, nil
}

// newServer returns a server that does not serve yet.
func (f *fleet) newServer(service, zone string, address net.Addr, slots int) *server {
	s := &server{
		fleet: f, ID: fmt.Sprintf("i-%s-%d", service, address.(*net.TCPAddr).Port), Address: address.String(),
		Service: service, Zone: zone, Slots: slots, Born: time.Now().UnixMilli(), State: "ready",
		slots: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	f.record.note("server %s of service %s starts at %s with %d slots", s.ID, service, s.Address, slots)
	return s
}

// announce sends heartbeats until the server is closed.
func (s *server) announce() {
	for n := 0; ; n++ {
		s.Sequence++
		body := render("heartbeat.tmpl", s)
		for range s.fleet.controls {
			m := s.fleet.controls[n%len(s.fleet.controls)]
			if status, err := call(m.IP, names["heartbeat"]+s.ID, body); err == nil && status == http.StatusOK {
				break
			}
			n++
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-s.stop:
			return
		}
	}
}

func (s *server) close() {
	close(s.stop)
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names["instance"], s.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(names["id"])
	s.fleet.record.note("server %s: request %s %s %s arrives for instance %q", s.ID, id, r.Method, r.URL.Path, r.Header.Get(names["expected"]))
	w.Header().Set(names["id"], id)
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.reject(w, id, http.StatusBadRequest)
		return
	}
	if !s.enter() {
		s.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.fleet.record.note("server %s: request %s runs", s.ID, id)
	if s.handle != nil {
		s.handle(w, r)
		return
	}
	s.work(w, r)
}

func (s *server) reject(w http.ResponseWriter, id string, status int) {
	s.fleet.record.note("server %s: request %s rejected with %d, not run", s.ID, id, status)
	w.Header().Set(names["notRun"], "1")
	w.WriteHeader(status)
}

func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.Slots+queueLength {
		return false
	}
	s.waiting++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// work reads the body, works for the time that the query states and answers.
func (s *server) work(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.fleet.record.note("server %s: request %s has a body that breaks off after %d bytes", s.ID, r.Header.Get(names["id"]), n)
		return
	}
	duration, _ := time.ParseDuration(r.URL.Query().Get("work"))
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		s.fleet.record.note("server %s: request %s is dropped, its connection closed", s.ID, r.Header.Get(names["id"]))
		return
	}
	s.answer(w, r, fmt.Sprintf("%s did %s with %d bytes", s.Service, r.URL.Path, n))
}

// answer writes a complete answer.
func (s *server) answer(w http.ResponseWriter, r *http.Request, text string) {
	w.Header().Set(names["stamp"], s.ID+"."+r.Header.Get(names["id"]))
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
	s.fleet.record.note("server %s: request %s answered 200", s.ID, r.Header.Get(names["id"]))
}
