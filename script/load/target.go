package main

import (
	"context"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// maxIdleConns bounds the idle connections that a target keeps.
const maxIdleConns = 1024

// target is one way to the backend, directly or through the entry host.
type target struct {
	transport *http.Transport
	url       string
	host      string
}

func newTarget(address, host string) *target {
	return &target{
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true},
		url:       "http://" + address + "/files/a",
		host:      host,
	}
}

// call sends a request and reads the complete answer.
func (t *target) call(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url, nil)
	if err != nil {
		return err
	}
	request.Host = t.host
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errs.New("call %s: status %d, reason %q", t.url, response.StatusCode, response.Header.Get("Mustardramp-Reason"))
	}
	return nil
}
