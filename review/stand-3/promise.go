package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// promiseServers is the number of servers, of which one is gray: less than the share
	// of 0.14 in the site file.
	promiseServers = 8
	// promiseTime is the time for which the server is gray, less than the 6.5 s in the site
	// file.
	promiseTime = 6 * time.Second
	// promiseFails of promiseOf requests at the gray server fail, as in the site file
	// (x = 0.4).
	promiseFails, promiseOf = 2, 5
	// promiseWork is the time that a server takes for a request.
	promiseWork = 20 * time.Millisecond
	// promiseCalls is the number of requests, promisePause the time between two.
	promiseCalls = 1500
	promisePause = 5 * time.Millisecond
	// promiseSettle is the time after the last answer in which a request may still run.
	promiseSettle = 3 * time.Second
)

// answered is the answer that a consumer got.
type answered struct {
	id     string
	status int
	stamp  string
}

// runPromise lets one server fail a part of its requests after it has run them, with 503
// and without the header for it. The requests may run at most once.
func runPromise(out *record, trouble bool) (bool, error) {
	f, err := newFleet(3, 2)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	var mu sync.Mutex
	var grayFrom time.Time
	var servers []*server
	for i := range promiseServers {
		s, err := newServer("orders", fmt.Sprintf("i-%d", i), zoneNames[i%len(zoneNames)])
		if err != nil {
			return false, err
		}
		count := 0
		s.answer = func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(promiseWork)
			mu.Lock()
			isGray := i == 0 && !grayFrom.IsZero() && time.Since(grayFrom) < promiseTime
			if isGray {
				count++
			}
			fails := isGray && count%promiseOf < promiseFails
			mu.Unlock()
			if fails {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "the order is stored, but its index did not answer")
				return
			}
			_, _ = io.WriteString(w, "done "+r.Header.Get("X-Request-Id"))
		}
		servers = append(servers, s)
	}
	text, err := configuration(1, []route{{"orders", "a.example", "/orders/", "unsafe", "orders", 3 * time.Second}})
	if err != nil {
		return false, err
	}
	stop, err := f.bring(text, servers)
	if err != nil {
		return false, err
	}
	defer stop()
	if trouble {
		mu.Lock()
		grayFrom = time.Now()
		mu.Unlock()
	}
	var work errgroup.Group
	answers := make([]answered, promiseCalls)
	for i := range promiseCalls {
		work.Go(func() error {
			id := fmt.Sprintf("%016x", i+1)
			status, stamp := post(f.entries[i%len(f.entries)], "/orders/one", id)
			answers[i] = answered{id, status, stamp}
			return nil
		})
		time.Sleep(promisePause)
	}
	_ = work.Wait()
	time.Sleep(promiseSettle)
	broken := 0
	for _, a := range answers {
		runs := 0
		for _, s := range servers {
			runs += s.ran(a.id)
		}
		out.note("request %s answered %d with stamp %q, run %d times", a.id, a.status, a.stamp, runs)
		if isPromise(a.status) && runs > 0 {
			out.note("request %s was answered as not run", a.id)
			broken++
		}
	}
	out.note("%d requests that had run were answered as not run", broken)
	return broken > 0, nil
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// post sends a request that may run once to an entry host. It returns the status, or 0, and
// the server's stamp.
func post(entry *node, path, id string) (status int, stamp string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.serve+path, strings.NewReader(id))
	if err != nil {
		return 0, ""
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(named("deadline"), "4000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, ""
	}
	return response.StatusCode, response.Header.Get(named("stamp"))
}
