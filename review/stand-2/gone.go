package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	uploadService = "dhwani"
	uploadHost    = "uploads.example"
	uploadBytes   = 100_000
	// leaverCount uploads wait for a slot when their clients leave.
	leaverCount = 20
	// goneAfter is the time after the close of a connection from which a request that
	// reaches a server counts.
	goneAfter = 500 * time.Millisecond
	// fewRequests may reach a server later than that.
	fewRequests = 5
)

// arrivals notes when requests reach a server.
type arrivals struct {
	mu   sync.Mutex
	byID map[string]time.Time
	// bytes holds the length of the body that was read.
	bytes map[string]int
}

func (a *arrivals) note(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = time.Now()
}

func (a *arrivals) noteBody(id string, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes[id] = n
}

func newArrivals() *arrivals {
	return &arrivals{byID: map[string]time.Time{}, bytes: map[string]int{}}
}

// playGone fills the slots of a service with long work. Further uploads wait, and their
// clients leave a second later.
func playGone(f *fleet, trouble bool) (verdict, error) {
	config := render("config.tmpl", configuration{Version: 1, Services: []string{uploadService}, Routes: []configRoute{
		{Name: "upload", Host: uploadHost, Kind: "upload", Timeout: "10000ms", Service: uploadService},
	}})
	if err := f.startAll(config); err != nil {
		return verdict{}, err
	}
	s, err := f.startServer(uploadService, "kol-a", f.address(), 6)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	seen := newArrivals()
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		seen.note(r.Header.Get(names["id"]))
		s.work(w, r)
	}
	front := f.fronts[0]
	if err := f.awaitServed(front, uploadHost+"/upload/"); err != nil {
		return verdict{}, err
	}
	payload := strings.Repeat("x", uploadBytes)
	var all []*request
	send := func(work time.Duration) error {
		q, err := f.open(front, http.MethodPost, uploadHost, fmt.Sprintf("/upload/hearing?work=%s", work), uploadBytes, 12*time.Second)
		if err != nil {
			return err
		}
		_, err = q.conn.Write([]byte(payload))
		all = append(all, q)
		return err
	}
	for range s.Slots {
		if err := send(3 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for range leaverCount {
		if err := send(100 * time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	leavers := all[s.Slots:]
	if trouble {
		time.Sleep(time.Second)
		for _, q := range leavers {
			q.leave()
			f.record.note("client: %s leaves", q.id)
		}
	}
	for _, q := range all {
		if !q.closed.IsZero() {
			continue
		}
		status, _, text, err := q.response(12 * time.Second)
		f.record.note("client: %s gets %d %q, error %v", q.id, status, text, err)
	}
	time.Sleep(4 * time.Second)
	late := 0
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, q := range leavers {
		at, ok := seen.byID[q.id]
		if ok && !q.closed.IsZero() && at.Sub(q.closed) > goneAfter {
			late++
			f.record.note("request %s reached a server %.3f s after its client had left", q.id, at.Sub(q.closed).Seconds())
		}
	}
	return verdict{broken: late > fewRequests, reason: fmt.Sprintf("%d of %d uploads reached a server over half a second after their clients had left", late, len(leavers))}, nil
}
