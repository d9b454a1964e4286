package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultLease is the lease of a Client that does not set one.
	DefaultLease = 10 * time.Second

	// renewalsPerLease is the number of announcements during a lease.
	renewalsPerLease = 4
	// retryInterval is the maximum time between a failed announcement and the next.
	retryInterval = 250 * time.Millisecond
	// postTimeout is the maximum time of one request to an entry host.
	postTimeout = 2 * time.Second
	// maxReplyBytes is the maximum number of bytes that are read of a reply.
	maxReplyBytes = 64 << 10
)

// ErrAnnounce is the error class for announcements that no entry host accepted.
var ErrAnnounce = errs.Class("announce")

// Client announces a backend. The fields must be set before the first call and not
// be changed afterwards. The methods are safe for concurrent use.
type Client struct {
	// Hosts lists the base URLs of entry hosts, such as "http://10.0.0.1:8080".
	// At least one is required. The hosts are tried in turn until one accepts the
	// announcement.
	Hosts []string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// HTTP sends the requests. If it is nil, http.DefaultTransport is used.
	HTTP http.RoundTripper
	// Lease is the time for which an announcement is valid. If it is zero,
	// DefaultLease is used.
	Lease time.Duration
	// About describes the backend. The client sets its State, Sequence and Lease.
	About Announcement
	// Failed, if not nil, is called by Run with the error of each announcement
	// that no entry host accepted.
	Failed func(error)

	mu       sync.Mutex
	state    mustardramp.BackendState
	sequence mustardramp.Sequence
	// preferred is the index of the host that is tried first: the last one that
	// accepted an announcement.
	preferred int
}

// Run announces the current state of the backend and renews the lease until the
// context ends. It returns the error of the context. The state is Starting until
// Serve is called.
func (c *Client) Run(ctx context.Context) error {
	for {
		pause := c.lease() / renewalsPerLease
		if err := c.announce(ctx); err != nil {
			c.reportFailure(err)
			pause = min(pause, retryInterval)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// Serve announces that the backend takes requests. If no entry host accepts the
// announcement, it returns an error of class ErrAnnounce, and Run announces the new
// state later.
func (c *Client) Serve(ctx context.Context) error {
	c.advanceState(mustardramp.Serving)
	return c.announce(ctx)
}

// Leave announces to every entry host that the backend takes no new requests. It
// returns an error of class ErrAnnounce if no entry host accepts the announcement.
func (c *Client) Leave(ctx context.Context) error {
	c.advanceState(mustardramp.Leaving)
	return c.announceAll(ctx)
}

// Gone announces to every entry host that the backend has stopped. It returns an
// error of class ErrAnnounce if no entry host accepts the announcement.
func (c *Client) Gone(ctx context.Context) error {
	c.advanceState(mustardramp.Gone)
	return c.announceAll(ctx)
}

// advanceState sets the state unless the current one is later.
func (c *Client) advanceState(state mustardramp.BackendState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = max(c.state, state)
}

func (c *Client) lease() time.Duration {
	if c.Lease > 0 {
		return c.Lease
	}
	return DefaultLease
}

func (c *Client) reportFailure(err error) {
	if c.Failed != nil {
		c.Failed(err)
	}
}

// nextAnnouncement returns the next announcement and the index of the host to try
// first.
func (c *Client) nextAnnouncement() (Announcement, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	a := c.About
	a.State = c.state
	a.Sequence = c.sequence
	a.Lease = c.lease().Milliseconds()
	return a, c.preferred
}

// announce sends an announcement to the hosts in turn until one accepts it.
func (c *Client) announce(ctx context.Context) error {
	a, first := c.nextAnnouncement()
	var failures []error
	for i := range c.Hosts {
		index := (first + i) % len(c.Hosts)
		err := c.post(ctx, c.Hosts[index], a)
		if err == nil {
			c.setPreferred(index)
			return nil
		}
		failures = append(failures, err)
	}
	return ErrAnnounce.Wrap(errors.Join(append(failures, checkHosts(len(c.Hosts)))...))
}

// announceAll sends an announcement to every host. It succeeds if one accepts it.
func (c *Client) announceAll(ctx context.Context) error {
	a, _ := c.nextAnnouncement()
	var failures []error
	accepted := 0
	for _, host := range c.Hosts {
		if err := c.post(ctx, host, a); err != nil {
			failures = append(failures, err)
			continue
		}
		accepted++
	}
	if accepted > 0 {
		return nil
	}
	return ErrAnnounce.Wrap(errors.Join(append(failures, checkHosts(len(c.Hosts)))...))
}

// checkHosts returns an error if no host is set.
func checkHosts(hosts int) error {
	if hosts > 0 {
		return nil
	}
	return errs.New("no entry host is set")
}

func (c *Client) setPreferred(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = index
}

// post sends an announcement to one host.
func (c *Client) post(ctx context.Context, host string, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(host, "/")+Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := c.roundTripper().RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return readReply(host, response)
}

func (c *Client) roundTripper() http.RoundTripper {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultTransport
}

// readReply returns the error that a reply describes, or nil for an accepted
// announcement.
func readReply(host string, response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	if err != nil {
		return err
	}
	var problem Problem
	if json.Unmarshal(text, &problem) != nil || problem.Detail == "" {
		problem.Detail = http.StatusText(response.StatusCode)
	}
	return errs.New("%s answered %d: %s", host, response.StatusCode, problem)
}
