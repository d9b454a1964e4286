package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/mustardramp/mustardramp/internal/standin"
)

const (
	// standinName is the name of each stand-in, which is part of its answers.
	standinName = "soak"
	// workTime is the time that each request takes.
	workTime = 15 * time.Millisecond
)

// services are the services of the fleet. Each has requests that may be
// repeated, requests that must not, and uploads.
var services = []string{"files", "orders"}

// contractFormat is the format of a service's contract. Both %s take the service
// and %d takes the revision, which becomes the deadline of a route that receives
// no requests.
const contractFormat = `service: %s
hosts: [%s.example]
floor: 50
slots: 6
connections: 400
shed: ` + standin.ShedHeader + `
budget: 20
ranks:
  urgent: {wait: 2s}
  normal: {share: 20, wait: 3s}
routes:
  - {path: "/reads/{id}", methods: [GET], rank: urgent, retry: true, deadline: 4s, whole: true}
  - {path: "/acts/{id}", methods: [POST], rank: normal, once: true, deadline: 5s, whole: true}
  - {path: "/revision", methods: [GET], rank: normal, retry: true, deadline: %ds}
`

// backend is a stand-in behind a proxy.
type backend struct {
	standin.Backend

	proxy *proxy
}

func newBackend(f *fleet, service string) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{Backend: standin.Backend{Name: standinName, Slots: slots, Work: workTime}}
	if b.proxy, err = newProxy(f, l.Addr().String()); err != nil {
		return nil, err
	}
	handler := http.Handler(b)
	if f.workspaces != nil {
		handler = f.workspaces.observeRuns(b)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	f.group.Go(func() error { return server.Serve(l) })
	f.group.Go(func() error {
		<-f.ctx.Done()
		return server.Close()
	})
	if f.workspaces != nil {
		f.workspaces.announce(service, b)
		return b, nil
	}
	client := f.newAnnouncer(service, b.proxy.address)
	f.group.Go(func() error {
		// The client repeats the announcement until a host accepts it.
		_ = client.Serve(f.ctx)
		return client.Run(f.ctx)
	})
	return b, nil
}

// expectedAnswer returns the complete answer of a stand-in to a request, which
// holds the method, the path and the length of the body.
func expectedAnswer(method, path string, length int) string {
	return fmt.Sprintf("%s served %s %s, %d bytes in\n", standinName, method, path, length)
}
