package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp/internal/standin"
)

// fault is a kind of fault: it begins, lasts and ends.
type fault struct {
	name string
	run  func(i *injector, random *rand.Rand, span time.Duration) error
}

// injector runs faults side by side. A process has one fault at a time.
type injector struct {
	s    *settings
	f    *fleet
	book *ledger
}

var faults = []fault{
	{"entry killed", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.restart(pick(random, i.f.entries), syscall.SIGKILL, span)
	}},
	{"entry stopped", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.restart(pick(random, i.f.entries), syscall.SIGTERM, span)
	}},
	{"entry paused", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.pause(pick(random, i.f.entries), span)
	}},
	{"control killed", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.restart(pick(random, i.f.controls), syscall.SIGKILL, span)
	}},
	{"control paused", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.pause(pick(random, i.f.controls), span)
	}},
	{"callers delayed", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.rain(pick(random, i.f.entries).door, weather{delay: 50 * time.Millisecond}, span)
	}},
	{"callers reset", func(i *injector, random *rand.Rand, _ time.Duration) error {
		pick(random, i.f.entries).door.reset()
		return nil
	}},
	{"callers unheard", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.rain(pick(random, i.f.entries).door, weather{up: true}, span)
	}},
	{"callers unanswered", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.rain(pick(random, i.f.entries).door, weather{down: true}, span)
	}},
	{"backend delayed", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.rain(pick(random, i.f.backends).door, weather{delay: 100 * time.Millisecond}, span)
	}},
	{"backend reset", func(i *injector, random *rand.Rand, _ time.Duration) error {
		pick(random, i.f.backends).door.reset()
		return nil
	}},
	{"backend silent", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.rain(pick(random, i.f.backends).door, weather{down: true}, span)
	}},
	{"backend unreachable", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.rain(pick(random, i.f.backends).door, weather{refuse: true}, span)
	}},
	{"backend fails", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.sicken(pick(random, i.f.backends), standin.Fault{Errors: 0.4, Cuts: 0.2}, span)
	}},
	{"backend hangs", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.sicken(pick(random, i.f.backends), standin.Fault{Hangs: 0.5}, span)
	}},
	{"backend slow", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.sicken(pick(random, i.f.backends), standin.Fault{Delay: 300 * time.Millisecond}, span)
	}},
}

const (
	// gap is the mean pause between the starts of two faults, and lasting the
	// mean length of one: some overlap.
	gap     = 700 * time.Millisecond
	lasting = 1500 * time.Millisecond
	// rest is the time for which a process is down.
	rest = 300 * time.Millisecond
)

// inject runs faults, drawn by the seed, for the time of the settings. At most
// one control host has a fault at a time, so that a quorum is left.
func inject(ctx context.Context, s *settings, f *fleet, book *ledger) error {
	i := &injector{s: s, f: f, book: book}
	random := rand.New(rand.NewPCG(s.Seed, 2))
	deadline := time.Now().Add(s.For)
	var group errgroup.Group
	for time.Now().Before(deadline) && ctx.Err() == nil {
		next := faults[random.IntN(len(faults))]
		span := time.Duration(random.ExpFloat64() * float64(lasting))
		own := rand.New(rand.NewPCG(random.Uint64(), 3))
		group.Go(func() error {
			err := next.run(i, own, span)
			if errors.Is(err, errBusy) {
				return nil
			}
			book.inject(next.name)
			if err != nil {
				return fmt.Errorf("%s: %w", next.name, err)
			}
			return nil
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(gap)))
	}
	return group.Wait()
}

// errBusy says that what a fault is for has one already.
var errBusy = errors.New("has a fault already")

// claims are what has a fault now.
var claims = newClaims()

func (i *injector) claim(p *process) (func(), error) {
	for _, c := range i.f.controls {
		if c == p {
			return claims.take("control")
		}
	}
	return claims.take(p.name)
}

// restart ends a process, by its own id, and starts it again.
func (i *injector) restart(p *process, sig syscall.Signal, span time.Duration) error {
	release, err := i.claim(p)
	if err != nil {
		return err
	}
	defer release()
	var upload errgroup.Group
	if sig == syscall.SIGTERM {
		upload.Go(func() error {
			trickle(p, i.book)
			return nil
		})
		time.Sleep(trickleTime / 4)
	}
	if err := p.signal(sig); err != nil {
		return err
	}
	p.wait()
	_ = upload.Wait()
	time.Sleep(min(rest, span))
	return p.start(i.s)
}

func (i *injector) pause(p *process, span time.Duration) error {
	release, err := i.claim(p)
	if err != nil {
		return err
	}
	defer release()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	return p.signal(syscall.SIGCONT)
}

func (i *injector) rain(p *proxy, w weather, span time.Duration) error {
	release, err := claims.take(p.address)
	if err != nil {
		return err
	}
	defer release()
	p.set(w)
	time.Sleep(span)
	p.set(weather{})
	// What was lost does not come back: connections through a cut end.
	if w.up || w.down {
		p.reset()
	}
	return nil
}

func (i *injector) sicken(b *backend, fault standin.Fault, span time.Duration) error {
	release, err := claims.take(b.door.address + " sick")
	if err != nil {
		return err
	}
	defer release()
	b.Fail(fault)
	time.Sleep(span)
	b.Fail(standin.Fault{})
	return nil
}

func pick[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}
