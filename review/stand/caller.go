package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// requestNumber is the number of the last request that a caller sent.
var requestNumber atomic.Int64

// callerClient is the client of the callers. It keeps its connections open.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends one request without a body to an entry host. It returns the id of the
// request and the status of the answer, or 0 without an answer.
func (f *fleet) send(h *host, method, hostname, path string, limit time.Duration) (id string, status int) {
	id = fmt.Sprintf("q%07d", requestNumber.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(h, portFront)+path, nil)
	if err != nil {
		return id, 0
	}
	r.Host = hostname
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Deadline, fmt.Sprint(limit.Milliseconds()))
	f.record.add("request-sent", "request", id, "to", h.name, "path", path)
	response, err := callerClient.Do(r)
	if err != nil {
		f.record.add("request-failed", "request", id, "error", err)
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	f.record.add("request-answered", "request", id, "by", h.name, "status", response.StatusCode, "stamp", response.Header.Get(names.Stamp), "error", err)
	return id, response.StatusCode
}
