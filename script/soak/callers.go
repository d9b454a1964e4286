package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// callTimeout bounds one request of a caller, above each route's deadline.
	callTimeout = 8 * time.Second
	// uploadBytes is the length of the body of an upload.
	uploadBytes = 200 << 10
	// publishInterval is the pause between two revisions of the contracts.
	publishInterval = 700 * time.Millisecond
	// ownRequest is the id of the reads with which the soak awaits service.
	ownRequest = "ping"
	// notRunVerdict starts the verdict on a request that did not run.
	notRunVerdict = "operation=not-run"
)

// notRunStatuses are the statuses that say on the platform that a request did not run.
// No stand-in answers with one of them.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// sendCalls sends requests at the configured mean rate until the context ends,
// over reused and over new connections. It then waits for the requests in
// flight, which the end of the context does not abort.
func sendCalls(ctx context.Context, s *settings, f *fleet, rec *recorder) error {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	keepAlive := &http.Transport{MaxIdleConnsPerHost: 16}
	defer keepAlive.CloseIdleConnections()
	noKeepAlive := &http.Transport{DisableKeepAlives: true}
	var group errgroup.Group
	for n := 0; ctx.Err() == nil; n++ {
		c := call{
			id: fmt.Sprintf("soak-%d-%d", s.Seed, n), service: services[random.IntN(len(services))],
			entry: f.entries[random.IntN(len(f.entries))], transport: keepAlive, read: random.Float64() < 0.5,
		}
		if random.Float64() < 0.3 {
			c.transport = noKeepAlive
		}
		if !c.read && random.Float64() < 0.2 {
			c.body = bytes.Repeat([]byte("x"), uploadBytes)
		}
		if f.workspaces != nil {
			f.workspaces.prepare(&c, random)
		}
		group.Go(func() error {
			c.send(rec)
			return nil
		})
		time.Sleep(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
	}
	return group.Wait()
}

// call is a request to an entry host.
type call struct {
	id, service string
	entry       *process
	transport   *http.Transport
	read        bool
	body        []byte
	// folder is the part of the path between the kind of the request and its id.
	folder string
	// header holds further headers of the request.
	header http.Header
	// observe, unless it is nil, is called with the complete answer.
	observe func(response *http.Response, text string)
}

func (c *call) method() string {
	if c.read {
		return http.MethodGet
	}
	return http.MethodPost
}

func (c *call) path() string {
	if c.read {
		return "/reads/" + c.folder + c.id
	}
	return "/acts/" + c.folder + c.id
}

// runKey returns the key under which the stand-ins count the runs of the request.
func (c *call) runKey() string {
	return c.method() + " " + c.path()
}

func (c *call) send(rec *recorder) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method(), "http://"+c.entry.proxy.address+c.path(), bytes.NewReader(c.body))
	if err != nil {
		rec.recordViolation(err)
		return
	}
	// Without GetBody, the transport of the caller cannot send the request again.
	r.GetBody = nil
	if c.header != nil {
		r.Header = c.header
	}
	r.Host = c.service + ".example"
	r.Header.Set("X-Request-Id", c.id)
	if !c.read {
		rec.recordSent(c.runKey())
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		rec.countOutcome("no answer")
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if c.observe != nil {
		c.observe(response, string(text))
	}
	c.checkAnswer(rec, response, string(text), err)
}

const (
	// slowUploadTime is the time that a slow upload takes.
	slowUploadTime = 2 * time.Second
	// slowUpload is the id of slow uploads.
	slowUpload = "trickled"
	// slowUploadPieces is the number of pieces in which its body is sent.
	slowUploadPieces = 20
)

// uploadSlowly uploads a body in pieces directly to an entry host, without its
// proxy. The host is told to stop during the upload and must still answer it.
func uploadSlowly(p *process, rec *recorder, header http.Header) {
	reader, writer := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		for range slowUploadPieces {
			time.Sleep(slowUploadTime / slowUploadPieces)
			if _, err := writer.Write(make([]byte, 1<<10)); err != nil {
				return err
			}
		}
		return writer.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+slowUploadTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addresses["traffic"]+"/acts/"+slowUpload, reader)
	if err != nil {
		rec.recordViolation(err)
		return
	}
	r.Host, r.Header = services[0]+".example", header.Clone()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		rec.countOutcome("trickled: " + response.Status)
	}
	_ = reader.Close()
	_ = group.Wait()
	if err != nil {
		rec.recordViolation(fmt.Errorf("graceful stop: an upload at %s was cut: %w", p.name, err))
	}
}

// checkAnswer records a violation if a complete answer is not the one that the
// request must get, and records the answers that the request did not run.
func (c *call) checkAnswer(rec *recorder, response *http.Response, text string, err error) {
	rec.countOutcome(response.Status)
	if rec.isBroken("answer") {
		text += "!"
	}
	switch {
	case response.StatusCode == http.StatusOK && err == nil && text != expectedAnswer(c.method(), c.path(), len(c.body)):
		rec.recordViolation(fmt.Errorf("whole and own answers: request %s got %q", c.id, text))
	case !c.read && (strings.HasPrefix(response.Header.Get("Mustardramp-Verdict"), notRunVerdict) ||
		c.header != nil && slices.Contains(notRunStatuses, response.StatusCode)):
		rec.recordDenied(c.runKey())
	}
}

// publishRevisions publishes new revisions of the contracts until the context
// ends. A revision that is not acknowledged may or may not be in force.
func publishRevisions(ctx context.Context, f *fleet, rec *recorder) error {
	rec.recordRevision(1)
	pause := publishInterval
	for revision := 2; ctx.Err() == nil; revision++ {
		time.Sleep(pause)
		start := time.Now()
		err := f.publish(context.WithoutCancel(ctx), revision)
		if f.workspaces != nil {
			pause = tableInterval - time.Since(start)
		}
		switch {
		case err == nil:
			rec.recordRevision(revision)
			rec.countOutcome("published")
		case errors.Is(err, context.Canceled):
			return nil
		default:
			rec.countOutcome("not published")
		}
	}
	return nil
}
