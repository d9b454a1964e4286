package main

import (
	"context"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// maxIdle is the number of connections that a target keeps.
const maxIdle = 1024

// target is one way to the backend.
type target struct {
	transport *http.Transport
	url       string
	host      string
}

func newTarget(address, host string) *target {
	return &target{
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true},
		url:       "http://" + address + "/files/a",
		host:      host,
	}
}

// call sends one request and reads the whole answer.
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
		return errs.New("answered %d %s", response.StatusCode, response.Header.Get("Mustardramp-Reason"))
	}
	return nil
}
