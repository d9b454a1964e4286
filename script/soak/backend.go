package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/mustardramp/mustardramp/internal/standin"
)

// standinName stands in each answer, and workTime is the time of each request.
const (
	standinName = "soak"
	workTime    = 15 * time.Millisecond
)

// services are those of the soak: each has work that may be repeated, work that
// must not, and uploads.
var services = []string{"files", "orders"}

// contractText is a contract; the second %s is the service too, and %d the
// revision, which stands in the deadline of a route without requests.
const contractText = `service: %s
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

	door *proxy
}

func newBackend(f *fleet, service string) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{Backend: standin.Backend{Name: standinName, Slots: slots, Work: workTime}}
	if b.door, err = newProxy(f, l.Addr().String()); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: startTime}
	f.group.Go(func() error { return server.Serve(l) })
	f.group.Go(func() error {
		<-f.ctx.Done()
		return server.Close()
	})
	client := f.announcer(service, b.door.address)
	f.group.Go(func() error {
		// The announcement is repeated until a host takes it.
		_ = client.Serve(f.ctx)
		return client.Run(f.ctx)
	})
	return b, nil
}

// answerOf is the whole answer to a request: it names the request, and the length
// of the body that arrived.
func answerOf(method, path string, length int) string {
	return fmt.Sprintf("%s served %s %s, %d bytes in\n", standinName, method, path, length)
}
