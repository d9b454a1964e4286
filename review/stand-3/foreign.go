package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// foreignServers is the number of upstreams, foreignPings that of the addresses which
	// another writer names for a service that no configuration names.
	foreignServers = 8
	foreignPings   = 3
	// foreignSlots and foreignWork give each upstream room for 30 requests a second.
	foreignSlots = 3
	foreignWork  = 100 * time.Millisecond
	// foreignPause is the time between two requests: 190 a second, four fifths of what
	// all upstreams together have room for.
	foreignPause = time.Second / 190
	// foreignBefore and foreignAfter are the times of load before and after the pings.
	foreignBefore = 6 * time.Second
	foreignAfter  = 14 * time.Second
	// floorShare and floorWindow are those of the rule.
	floorShare  = 0.7
	floorWindow = 2 * time.Second
	// contactWindow is that of the settings.
	contactWindow = 3 * time.Second
)

// foreignCall is one request with its result.
type foreignCall struct {
	at     time.Time
	served bool
}

// runForeign sends pings of another writer: each names a service that no configuration
// names, at the address of an upstream.
func runForeign(out *record, trouble bool) (bool, error) {
	f, err := newFleet(3, 2)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	var servers []*server
	for i := range foreignServers {
		s, err := newServer("catalogue", fmt.Sprintf("i-%d", i), zoneNames[i%len(zoneNames)])
		if err != nil {
			return false, err
		}
		s.slots = foreignSlots
		places := make(chan struct{}, foreignSlots)
		s.admit = func() bool {
			select {
			case places <- struct{}{}:
				return true
			default:
				return false
			}
		}
		s.answer = func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			arrivals[s.id] = append(arrivals[s.id], time.Now())
			mu.Unlock()
			time.Sleep(foreignWork)
			<-places
			_, _ = io.WriteString(w, "found")
		}
		servers = append(servers, s)
	}
	text, err := configuration(1, []route{{"catalogue", "a.example", "/catalogue/", "safe", "catalogue", 2 * time.Second}})
	if err != nil {
		return false, err
	}
	stop, err := f.bring(text, servers)
	if err != nil {
		return false, err
	}
	defer stop()
	var calls []foreignCall
	var work errgroup.Group
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	started := time.Now()
	var pinged time.Time
	for i := 0; time.Since(started) < foreignBefore+foreignAfter; i++ {
		if pinged.IsZero() && time.Since(started) >= foreignBefore {
			pinged = time.Now()
			if trouble {
				if err := f.pingForeign(servers[:foreignPings], out); err != nil {
					return false, err
				}
			}
		}
		entry := f.entries[i%len(f.entries)]
		work.Go(func() error {
			sent := time.Now()
			status := get(client, entry, fmt.Sprintf("%016x", i+1))
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, foreignCall{sent, status == http.StatusOK})
			out.note("request %016x sent at %.3f answered %d", i+1, sent.Sub(started).Seconds(), status)
			return nil
		})
		time.Sleep(time.Until(started.Add(time.Duration(i+1) * foreignPause)))
	}
	_ = work.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, s := range servers {
		before, after := 0, 0
		for _, at := range arrivals[s.id] {
			if at.Before(pinged) {
				before++
			} else {
				after++
			}
		}
		out.note("upstream %s at %s: %d requests before the pings, %d after", s.id, s.address, before, after)
	}
	return isBelowFloor(out, pinged, calls, arrivals), nil
}

// isBelowFloor reports whether for floorWindow some, but less than floorShare of the
// upstreams got requests while more than a tenth of the requests, but under half, were not
// served. All upstreams are sound all the time.
func isBelowFloor(out *record, pinged time.Time, calls []foreignCall, arrivals map[string][]time.Time) bool {
	broken := 0
	for from := pinged.Add(contactWindow); from.Before(pinged.Add(foreignAfter - floorWindow - time.Second)); from = from.Add(floorWindow / 4) {
		isWithin := func(at time.Time) bool { return !at.Before(from) && at.Before(from.Add(floorWindow)) }
		used, sent, unserved := 0, 0, 0
		for _, list := range arrivals {
			for _, at := range list {
				if isWithin(at) {
					used++
					break
				}
			}
		}
		for _, c := range calls {
			if isWithin(c.at) {
				sent++
				if !c.served {
					unserved++
				}
			}
		}
		share := float64(unserved) / float64(max(1, sent))
		isBroken := used > 0 && float64(used) < floorShare*foreignServers && share > 0.1 && share < 0.5
		out.note("from %.1f s after the pings: %d of %d upstreams got requests, %d of %d requests were not served, broken %t",
			from.Sub(pinged).Seconds(), used, foreignServers, unserved, sent, isBroken)
		if isBroken {
			broken++
		}
	}
	return broken > 0
}

// pingForeign sends one ping of another writer for the address of each server.
func (f *fleet) pingForeign(servers []*server, out *record) error {
	for i, s := range servers {
		text, err := json.Marshal(map[string]any{
			"address": s.address, "born": time.Now().UnixMilli(),
			"serverInfo": map[string]any{"service": "elsewhere", "version": "v1", "zone": s.zone, "maxConcurrency": 1},
			"status":     map[string]any{"state": "ready", "sequence": 1, named("remaining"): "0ms"},
		})
		if err != nil {
			return err
		}
		status, _, err := f.call(f.controls[i%len(f.controls)], fmt.Sprintf("%s&of=x-%d", named("heartbeat"), i), text)
		out.note("ping of another writer for service elsewhere at %s answered %d, %v", s.address, status, err)
	}
	return nil
}

// get sends a safe request to an entry host and returns the status, or 0.
func get(client *http.Client, entry *node, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.serve+"/catalogue/one", strings.NewReader(""))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(named("deadline"), "2000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
