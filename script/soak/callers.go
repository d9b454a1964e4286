package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// callTime bounds one request of a caller, above each route's deadline.
	callTime = 8 * time.Second
	// uploadBytes is the length of the long bodies.
	uploadBytes = 200 << 10
	// publishPause is the pause between two revisions of the contracts.
	publishPause = 700 * time.Millisecond
	notRun       = "operation=not-run"
)

// callers send requests at the rate until the context ends, over kept and new
// connections. The context ends the sending; requests under way end by
// themselves.
func callers(ctx context.Context, s *settings, f *fleet, book *ledger) error {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	kept := &http.Transport{MaxIdleConnsPerHost: 16}
	defer kept.CloseIdleConnections()
	fresh := &http.Transport{DisableKeepAlives: true}
	var group errgroup.Group
	for n := 0; ctx.Err() == nil; n++ {
		c := call{
			id: fmt.Sprintf("soak-%d-%d", s.Seed, n), service: services[random.IntN(len(services))],
			entry: f.entries[random.IntN(len(f.entries))], transport: kept, read: random.Float64() < 0.5,
		}
		if random.Float64() < 0.3 {
			c.transport = fresh
		}
		if !c.read && random.Float64() < 0.2 {
			c.body = bytes.Repeat([]byte("x"), uploadBytes)
		}
		group.Go(func() error {
			c.send(book)
			return nil
		})
		time.Sleep(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
	}
	return group.Wait()
}

// call is one request.
type call struct {
	id, service string
	entry       *process
	transport   *http.Transport
	read        bool
	body        []byte
}

func (c *call) method() string {
	if c.read {
		return http.MethodGet
	}
	return http.MethodPost
}

func (c *call) path() string {
	if c.read {
		return "/reads/" + c.id
	}
	return "/acts/" + c.id
}

// name is what the stand-ins count the request's runs by.
func (c *call) name() string {
	return c.method() + " " + c.path()
}

func (c *call) send(book *ledger) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method(), "http://"+c.entry.door.address+c.path(), bytes.NewReader(c.body))
	if err != nil {
		book.fault(err)
		return
	}
	// The caller's own transport must not send a request again.
	r.GetBody = nil
	r.Host = c.service + ".example"
	r.Header.Set("X-Request-Id", c.id)
	if !c.read {
		book.sending(c.name())
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		book.note("no answer")
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	c.judge(book, response, string(text), err)
}

const (
	// trickleTime is how long a trickled upload takes, trickleSteps the number of
	// its pieces.
	trickleTime  = 2 * time.Second
	trickleSteps = 20
)

// trickle uploads a body in pieces to an entry host itself, past its proxy. The
// host is asked to stop meanwhile: the upload must have an answer all the same.
func trickle(p *process, book *ledger) {
	reader, writer := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		for range trickleSteps {
			time.Sleep(trickleTime / trickleSteps)
			if _, err := writer.Write(make([]byte, 1<<10)); err != nil {
				return err
			}
		}
		return writer.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), callTime+trickleTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addresses["traffic"]+"/acts/trickled", reader)
	if err != nil {
		book.fault(err)
		return
	}
	r.Host = services[0] + ".example"
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		book.note("trickled: " + response.Status)
	}
	_ = reader.Close()
	_ = group.Wait()
	if err != nil {
		book.fault(fmt.Errorf("graceful stop: an upload at %s was cut: %w", p.name, err))
	}
}

func (c *call) judge(book *ledger, response *http.Response, text string, err error) {
	book.note(response.Status)
	if book.breaks == "answer" {
		text += "!"
	}
	switch {
	case response.StatusCode == http.StatusOK && err == nil && text != answerOf(c.method(), c.path(), len(c.body)):
		book.fault(fmt.Errorf("whole and own answers: request %s got %q", c.id, text))
	case strings.HasPrefix(response.Header.Get("Mustardramp-Verdict"), notRun) && !c.read:
		book.deny(c.name())
	}
}

// operate publishes revisions of the contracts until the context ends. One that
// is not acknowledged may be in force or not.
func operate(ctx context.Context, f *fleet, book *ledger) error {
	book.ack(1)
	for revision := 2; ctx.Err() == nil; revision++ {
		time.Sleep(publishPause)
		err := f.publish(context.WithoutCancel(ctx), revision)
		switch {
		case err == nil:
			book.ack(revision)
			book.note("published")
		case errors.Is(err, context.Canceled):
			return nil
		default:
			book.note("not published")
		}
	}
	return nil
}
