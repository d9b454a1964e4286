package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beatInterval is the heartbeatInterval of the settings.
const beatInterval = 1500 * time.Millisecond

// server is a stand-in for an upstream. It answers as the pages say, but for what a case
// puts into answer and admit.
type server struct {
	service, id, zone string
	address           string
	slots             int
	born              int64
	sequence          int64
	// answer answers a request that the server has begun to run.
	answer func(w http.ResponseWriter, r *http.Request)
	// admit takes a place for a request or reports that there is none, which the server
	// then answers as not run. It may be nil.
	admit func() bool

	mu sync.Mutex
	// runs counts the runs of each request by its id.
	runs map[string]int
}

// newServer starts a server at a free port.
func newServer(service, id, zone string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{service: service, id: id, zone: zone, address: l.Addr().String(), slots: 16, born: time.Now().UnixMilli(), runs: map[string]int{}}
	background.Go(func() error { return http.Serve(l, http.HandlerFunc(s.handle)) })
	return s, nil
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(named("instance"), s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get(named("expected")); expected != "" && expected != s.id {
		w.Header().Set(named("instance"), s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.admit != nil && !s.admit() {
		w.Header().Set(named("not-run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	w.Header().Set(named("stamp"), s.id+"."+id)
	s.answer(w, r)
}

// ran returns how often a request has run here.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// beat announces the server to a control host at each interval.
func (s *server) beat(ctx context.Context, f *fleet) error {
	for i := 0; ; i++ {
		s.sequence++
		text, err := s.statement()
		if err != nil {
			return err
		}
		for j := range f.controls {
			status, _, err := f.call(f.controls[(i+j)%len(f.controls)], named("heartbeat")+"&of="+s.id, text)
			if err == nil && status == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(beatInterval):
		}
	}
}

func (s *server) statement() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"serverInfo": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "maxConcurrency": s.slots},
		"status":     map[string]any{"state": "ready", "sequence": s.sequence, named("remaining"): "0ms"},
	})
}

// route is one route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout                           time.Duration
}

// configuration returns a configuration with routes.
func configuration(version int, routes []route) ([]byte, error) {
	var resources []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		resources = append(resources, map[string]any{named("kind"): "routes", "metadata": map[string]any{"name": r.name}, "specification": map[string]any{
			"hostname": r.host, named("prefix"): r.prefix, "kind": r.kind, "timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			named("target"): "800ms", "priority": 0, "service": r.service, named("attempts"): 2,
		}})
		services[r.service] = true
	}
	for name := range services {
		resources = append(resources, map[string]any{named("kind"): "services", "metadata": map[string]any{"name": name}, "specification": map[string]any{
			"healthCheckPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{named("kind"): "limits", "metadata": map[string]any{}, "specification": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	}})
	return json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
}
