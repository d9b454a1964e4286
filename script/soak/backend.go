package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp/internal/standin"
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

// backend is a stand-in that notes each run of a request.
type backend struct {
	service string
	door    *proxy
	// sick is the share of requests that fail, and slow their delay.
	sick atomic.Pointer[sickness]

	busy atomic.Int64
	mu   sync.Mutex
	// runs counts the runs by request.
	runs map[string]int
}

type sickness struct {
	errors, cuts, hangs float64
	delay               time.Duration
}

func newBackend(f *fleet, service string, _ int) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{service: service, runs: map[string]int{}}
	b.sick.Store(&sickness{})
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

// answerOf is the body that belongs to a request: it names the request, and its
// digest shows that it is whole.
func answerOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	return "answer to " + id + " " + hex.EncodeToString(sum[:])
}

// ServeHTTP runs one request, unless all slots are taken.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.busy.Add(1) > slots {
		b.busy.Add(-1)
		w.Header().Set(standin.ShedHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.busy.Add(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	sick := b.sick.Load()
	time.Sleep(time.Duration(5+rand.IntN(20))*time.Millisecond + sick.delay)
	body := answerOf(id)
	switch roll := rand.Float64(); {
	case roll < sick.errors:
		http.Error(w, "failed on purpose", http.StatusInternalServerError)
	case roll < sick.errors+sick.cuts:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case roll < sick.errors+sick.cuts+sick.hangs:
		<-r.Context().Done()
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		fmt.Fprint(w, body)
	}
}

// count adds the backend's runs to those of the others.
func (b *backend) count(into map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.runs {
		into[id] += n
	}
}
