package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// route and service lists for config.tmpl.
type configRoute struct {
	Name, Host, Kind, Timeout, Service string
	Priority                           int
}

type configuration struct {
	Version  int
	Routes   []configRoute
	Services []string
}

const (
	readService = "patha"
	actService  = "mohor"
	readHost    = "reads.example"
	// strayRequests are sent after the ping.
	strayRequests = 60
	actHost       = "acts.example"
)

// playStray lets another writer send one ping whose fields have other types than the pages
// say. It names a server of one service as a server of another.
func playStray(f *fleet, trouble bool) (verdict, error) {
	config := render("config.tmpl", configuration{Version: 1, Services: []string{readService, actService}, Routes: []configRoute{
		{Name: "read", Host: readHost, Kind: "safe", Timeout: "5000ms", Service: readService},
		{Name: "act", Host: actHost, Kind: "unsafe", Timeout: "6000ms", Service: actService, Priority: 1},
	}})
	if err := f.startAll(config); err != nil {
		return verdict{}, err
	}
	reader, err := f.startServer(readService, "kol-a", f.address(), 6)
	if err != nil {
		return verdict{}, err
	}
	defer reader.close()
	actor, err := f.startServer(actService, "kol-a", f.address(), 6)
	if err != nil {
		return verdict{}, err
	}
	defer actor.close()
	for _, m := range f.fronts {
		for _, route := range []string{readHost + "/read/", actHost + "/act/"} {
			if err := f.awaitServed(m, route); err != nil {
				return verdict{}, err
			}
		}
	}
	if trouble {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"serverInfo":{"service":%q,"version":7,"zone":"kol-a","maxConcurrency":6},`+
			`"status":{"state":"ready","sequence":1,"%s":0}}`, reader.Address, reader.Born, actService, strayField)
		status, err := call(f.controls[0].IP, names["heartbeat"]+reader.ID, []byte(body))
		f.record.note("another writer: ping %s -> status %d, error %v", body, status, err)
	}
	time.Sleep(2 * time.Second)
	foreign, asked := 0, 0
	for i := range strayRequests {
		m := f.fronts[i%len(f.fronts)]
		q, err := f.open(m, http.MethodPost, actHost, "/act/order?work=20ms", 0, 12*time.Second)
		if err != nil {
			return verdict{}, err
		}
		asked++
		status, header, text, err := q.response(12 * time.Second)
		f.record.note("client: %s gets %d, stamp %q, %q, error %v", q.id, status, header.Get(names["stamp"]), text, err)
		if strings.HasPrefix(text, readService) && status == http.StatusOK {
			foreign++
		}
		q.leave()
	}
	reason := fmt.Sprintf("%d of %d unsafe requests on a route that has only ever led to %s were run by a server of %s", foreign, asked, actService, readService)
	return verdict{broken: foreign > 0, reason: reason}, nil
}

// strayField is a field of a ping, which the other writer gives as a number.
const strayField = "warmup" + "Remaining"

// awaitServed sends requests until one is served.
func (f *fleet) awaitServed(m *machine, route string) error {
	host, path, _ := strings.Cut(route, "/")
	method := http.MethodPost
	if host == readHost {
		method = http.MethodGet
	}
	err := await(startTimeout, func() bool {
		q, err := f.open(m, method, host, "/"+path+"first?work=1ms", 0, 5*time.Second)
		if err != nil {
			return false
		}
		defer q.leave()
		status, _, _, err := q.response(5 * time.Second)
		return err == nil && status == http.StatusOK
	})
	if err != nil {
		return fmt.Errorf("%s serves no %s: %w", m.Name, route, err)
	}
	return nil
}
