package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// quietServers is the number of upstreams, of which one asks for quiet.
	quietServers = 8
	// quietTime is what that upstream states as Retry-After, in seconds.
	quietTime = 40
	// quietFlips is how often the service leaves the configuration and comes back,
	// quietGap the time between two changes.
	quietFlips = 3
	quietGap   = 4 * time.Second
	// quietPause is the time between two requests at one entry host.
	quietPause = 10 * time.Millisecond
	// quietSlack is the time after which a request to the upstream counts, quietAllowed
	// the number of requests that may still reach it.
	quietSlack   = 500 * time.Millisecond
	quietAllowed = 2
)

// runQuiet lets one upstream turn requests away with a Retry-After while the operator takes
// its service out of the configuration and puts it back.
func runQuiet(out *record, trouble bool) (bool, error) {
	f, err := newFleet(3, 2)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	var mu sync.Mutex
	asked := map[byte]time.Time{}
	late := map[byte]int{}
	isQuiet := false
	var servers []*server
	for i := range quietServers + 1 {
		service := "catalogue"
		if i == quietServers {
			service = "other"
		}
		s, err := newServer(service, fmt.Sprintf("i-%d", i), zoneNames[i%len(zoneNames)])
		if err != nil {
			return false, err
		}
		s.slots = 3
		s.answer = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "found")
		}
		if i == 0 {
			s.turnAway = func(w http.ResponseWriter, r *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				if !isQuiet {
					return false
				}
				entry := r.Header.Get("X-Request-Id")[0]
				if first, ok := asked[entry]; ok && time.Since(first) > quietSlack && time.Since(first) < quietTime*time.Second {
					late[entry]++
					out.note("request %s reaches the quiet upstream %.3f s after it asked entry host %c for quiet", r.Header.Get("X-Request-Id"), time.Since(first).Seconds(), entry)
				} else if !ok {
					asked[entry] = time.Now()
					out.note("the upstream asks entry host %c for %d s of quiet", entry, quietTime)
				}
				w.Header().Set("X-Not-Executed", "1")
				w.Header().Set("Retry-After", fmt.Sprint(quietTime-int(time.Since(asked[entry]).Seconds())))
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}
		servers = append(servers, s)
	}
	normal := []route{{"catalogue", "a.example", "/catalogue/", "safe", "catalogue", 2 * time.Second}, {"other", "a.example", "/other/", "safe", "other", 2 * time.Second}}
	moved := []route{{"catalogue", "a.example", "/catalogue/", "safe", "other", 2 * time.Second}, {"other", "a.example", "/other/", "safe", "other", 2 * time.Second}}
	text, err := configuration(1, normal)
	if err != nil {
		return false, err
	}
	stop, err := f.bring(text, servers)
	if err != nil {
		return false, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	var work errgroup.Group
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	for e, entry := range f.entries {
		work.Go(func() error {
			var calls errgroup.Group
			for i := 0; ctx.Err() == nil; i++ {
				calls.Go(func() error {
					_ = get(client, entry, fmt.Sprintf("%d%015x", e, i+1))
					return nil
				})
				time.Sleep(quietPause)
			}
			return calls.Wait()
		})
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	isQuiet = true
	mu.Unlock()
	time.Sleep(4 * time.Second)
	for i := range quietFlips {
		for j, routes := range [][]route{moved, normal} {
			if trouble {
				text, err := configuration(2+2*i+j, routes)
				if err != nil {
					cancel()
					return false, err
				}
				status, err := f.order(ctx, text)
				out.note("configuration r%d answered %d, %v", 2+2*i+j, status, err)
			}
			time.Sleep(quietGap)
		}
	}
	cancel()
	_ = work.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for entry := range asked {
		out.note("entry host %c: %d requests reached the upstream in the time of quiet", entry, late[entry])
		broken = broken || late[entry] > quietAllowed
	}
	return broken, nil
}
