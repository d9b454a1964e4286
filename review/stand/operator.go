package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	Name, Host, Prefix, Kind, Service string
}

// configuration is a complete configuration of the operator.
type configuration struct {
	Version  int
	Routes   []route
	Services []string
}

// routeTime is the time for each route that the operator adds to its patience.
const routeTime = 3 * time.Millisecond

// call sends one call to a control host and returns the status, or 0 without an
// answer.
func (f *fleet) call(h *host, name string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := "http://" + f.address(h, portControl) + "/rpc?call=" + name
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// publish sends a configuration to the control hosts in turn, starting with the
// given one, until one acknowledges it or the limit has passed. It returns the time
// of the acknowledgement, or the zero time.
func (f *fleet) publish(c configuration, first int, limit time.Duration) time.Time {
	body := fill("configuration.json", c)
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := first; time.Now().Before(end); i++ {
		h := f.controls[i%len(f.controls)]
		patience := time.Second + time.Duration(len(c.Routes))*routeTime
		f.record.add("replace-sent", "version", c.Version, "to", h.name, "bytes", len(body))
		status, answer := f.call(h, names.Replace, body, patience)
		f.record.add("replace-answered", "version", c.Version, "by", h.name, "status", status, "answer", shorten(answer))
		if status == http.StatusOK {
			return time.Now()
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return time.Time{}
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return time.Time{}
}

// readBack asks a control host for the configuration and returns its version, or ""
// without an answer.
func (f *fleet) readBack(h *host) string {
	status, answer := f.call(h, names.Get, nil, time.Second)
	var c struct{ Version string }
	if status != http.StatusOK || json.Unmarshal(answer, &c) != nil {
		return ""
	}
	return c.Version
}

func shorten(text []byte) string {
	const most = 100
	if len(text) > most {
		text = text[:most]
	}
	return fmt.Sprintf("%q", text)
}
