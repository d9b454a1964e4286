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

// Defaults of a Client.
const (
	DefaultLease = 10 * time.Second
	// renewals is how many announcements fall into one lease.
	renewals    = 4
	retryPause  = 250 * time.Millisecond
	postTimeout = 2 * time.Second
	maxReply    = 64 << 10
)

// ErrAnnounce is the class of errors for an announcement that no host took.
var ErrAnnounce = errs.Class("announce")

// Client announces one backend. Set the fields before the first use.
type Client struct {
	// Hosts lists the base URLs of entry hosts, such as "http://10.0.0.1:8080".
	// At least one is needed; each announcement goes to the first that takes it.
	Hosts []string
	// Token is sent as a bearer token when it is not empty.
	Token string
	// HTTP may be nil: then http.DefaultTransport is used.
	HTTP http.RoundTripper
	// Lease is DefaultLease when it is 0.
	Lease time.Duration
	// About is the statement to repeat. State, Sequence and Lease are set by
	// the client.
	About Announcement
	// Failed may be nil. It is told of each announcement that no host took.
	Failed func(error)

	mu       sync.Mutex
	state    mustardramp.BackendState
	sequence mustardramp.Sequence
	// next is the index of the host that is asked first.
	next int
}

// Run announces the backend as starting or serving, and renews the lease,
// until the context ends. It blocks.
func (c *Client) Run(ctx context.Context) error {
	for {
		pause := c.lease() / renewals
		if err := c.announce(ctx); err != nil {
			c.report(err)
			pause = min(pause, retryPause)
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

// Serve states that the backend takes work, and announces it at once.
func (c *Client) Serve(ctx context.Context) error {
	c.advance(mustardramp.Serving)
	return c.announce(ctx)
}

// Leave states that the backend takes no new work, and tells every host that
// it can reach. It returns an error when none took the statement.
func (c *Client) Leave(ctx context.Context) error {
	c.advance(mustardramp.Leaving)
	return c.announceAll(ctx)
}

// Gone states that the backend has stopped.
func (c *Client) Gone(ctx context.Context) error {
	c.advance(mustardramp.Gone)
	return c.announceAll(ctx)
}

// advance moves the state forward; it never moves backwards.
func (c *Client) advance(state mustardramp.BackendState) {
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

func (c *Client) report(err error) {
	if c.Failed != nil {
		c.Failed(err)
	}
}

// statement returns the next announcement and the host to ask first.
func (c *Client) statement() (Announcement, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	a := c.About
	a.State = c.state
	a.Sequence = c.sequence
	a.Lease = c.lease().Milliseconds()
	return a, c.next
}

// announce asks the hosts in turn until one takes the statement.
func (c *Client) announce(ctx context.Context) error {
	a, first := c.statement()
	var failures []error
	for i := range c.Hosts {
		index := (first + i) % len(c.Hosts)
		err := c.post(ctx, c.Hosts[index], a)
		if err == nil {
			c.prefer(index)
			return nil
		}
		failures = append(failures, err)
	}
	return ErrAnnounce.Wrap(errors.Join(append(failures, errNoHost(len(c.Hosts)))...))
}

func (c *Client) announceAll(ctx context.Context) error {
	a, _ := c.statement()
	var failures []error
	taken := 0
	for _, host := range c.Hosts {
		if err := c.post(ctx, host, a); err != nil {
			failures = append(failures, err)
			continue
		}
		taken++
	}
	if taken > 0 {
		return nil
	}
	return ErrAnnounce.Wrap(errors.Join(append(failures, errNoHost(len(c.Hosts)))...))
}

func errNoHost(hosts int) error {
	if hosts > 0 {
		return nil
	}
	return errs.New("no entry host is set")
}

func (c *Client) prefer(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = index
}

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

func readReply(host string, response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
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
