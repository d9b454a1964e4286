package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// cutConfiguration is a configuration of which nothing but the version has arrived.
	cutConfiguration = `{"version":"r2"}`
	// applyTime is the time within which a configuration is in force, with a margin.
	applyTime = 2500 * time.Millisecond
	// cutRequests are sent after that.
	cutRequests = 20
)

// playCut lets the operator send a configuration that is cut short to its version.
func playCut(f *fleet, trouble bool) (verdict, error) {
	first := configuration{Version: 1, Services: []string{readService}, Routes: []configRoute{
		{Name: "read", Host: readHost, Kind: "safe", Timeout: "5000ms", Service: readService},
	}}
	if err := f.startAll(render("config.tmpl", first)); err != nil {
		return verdict{}, err
	}
	s, err := f.startServer(readService, "kol-a", f.address(), 6)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	for _, m := range f.fronts {
		if err := f.awaitServed(m, readHost+"/read/"); err != nil {
			return verdict{}, err
		}
	}
	acknowledged := false
	if trouble {
		status, err := call(f.controls[0].IP, names["replace"], []byte(cutConfiguration))
		f.record.note("operator: sends %s to %s, status %d, error %v", cutConfiguration, f.controls[0].Name, status, err)
		acknowledged = err == nil && status == http.StatusOK
	}
	time.Sleep(applyTime)
	f.record.note("operator: reads back %s", f.readBack())
	served, missing := 0, 0
	for i := range cutRequests {
		m := f.fronts[i%len(f.fronts)]
		q, err := f.open(m, http.MethodGet, readHost, "/read/list?work=20ms", 0, 10*time.Second)
		if err != nil {
			return verdict{}, err
		}
		status, _, text, err := q.response(10 * time.Second)
		f.record.note("client: %s gets %d, %.60q, error %v", q.id, status, text, err)
		switch status {
		case http.StatusOK:
			served++
		case http.StatusNotFound:
			missing++
		}
		q.leave()
	}
	reason := fmt.Sprintf("the configuration without resources was acknowledged: %v; of %d requests on the route of the one before, %d were served and %d got 404",
		acknowledged, cutRequests, served, missing)
	return verdict{broken: acknowledged && missing > 0, reason: reason}, nil
}

// readBack returns the configuration that the first control host states.
func (f *fleet) readBack() string {
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Post("http://"+f.controls[0].IP+":8544"+names["get"], "application/json", strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, text)
}
