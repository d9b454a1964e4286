package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp/internal/standin"
)

// fault is a kind of fault. Its run function starts the fault, keeps it for the
// span and ends it.
type fault struct {
	name string
	run  func(i *injector, random *rand.Rand, span time.Duration) error
}

// injector runs faults in parallel. A target has one fault at a time; a backend and
// the proxy in front of it are two targets.
type injector struct {
	s   *settings
	f   *fleet
	rec *recorder
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
		return i.impair(pick(random, i.f.entries).proxy, impairment{delay: 50 * time.Millisecond}, span)
	}},
	{"callers reset", func(i *injector, random *rand.Rand, _ time.Duration) error {
		pick(random, i.f.entries).proxy.reset()
		return nil
	}},
	{"callers unheard", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.impair(pick(random, i.f.entries).proxy, impairment{dropToTarget: true}, span)
	}},
	{"callers unanswered", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.impair(pick(random, i.f.entries).proxy, impairment{dropFromTarget: true}, span)
	}},
	{"backend delayed", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.impair(pick(random, i.f.backends).proxy, impairment{delay: 100 * time.Millisecond}, span)
	}},
	{"backend reset", func(i *injector, random *rand.Rand, _ time.Duration) error {
		pick(random, i.f.backends).proxy.reset()
		return nil
	}},
	{"backend silent", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.impair(pick(random, i.f.backends).proxy, impairment{dropFromTarget: true}, span)
	}},
	{"backend unreachable", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.impair(pick(random, i.f.backends).proxy, impairment{refuse: true}, span)
	}},
	{"backend fails", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.failBackend(pick(random, i.f.backends), standin.Fault{Errors: 0.4, Cuts: 0.2}, span)
	}},
	{"backend hangs", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.failBackend(pick(random, i.f.backends), standin.Fault{Hangs: 0.5}, span)
	}},
	{"backend slow", func(i *injector, random *rand.Rand, span time.Duration) error {
		return i.failBackend(pick(random, i.f.backends), standin.Fault{Delay: 300 * time.Millisecond}, span)
	}},
}

// workspaceFaults are the faults of a fleet with workspaces.
var workspaceFaults = append(slices.Clone(faults), fault{"all killed", func(i *injector, _ *rand.Rand, span time.Duration) error {
	return i.restartAll(span)
}})

const (
	// meanFaultInterval is the mean time between the starts of two faults. It is
	// shorter than the mean duration, so that faults overlap.
	meanFaultInterval = 700 * time.Millisecond
	// meanFaultDuration is the mean duration of a fault.
	meanFaultDuration = 1500 * time.Millisecond
	// maxDownTime bounds the time between the end of a process and its restart.
	maxDownTime = 300 * time.Millisecond
)

// inject runs faults, chosen by the seed, for the configured time. At most one
// control host has a fault at a time, so that a quorum remains.
func inject(ctx context.Context, s *settings, f *fleet, rec *recorder) error {
	i := &injector{s: s, f: f, rec: rec}
	random := rand.New(rand.NewPCG(s.Seed, 2))
	deadline := time.Now().Add(s.For)
	kinds := faults
	if f.workspaces != nil {
		kinds = workspaceFaults
	}
	var group errgroup.Group
	for time.Now().Before(deadline) && ctx.Err() == nil {
		next := pick(random, kinds)
		span := time.Duration(random.ExpFloat64() * float64(meanFaultDuration))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		group.Go(func() error {
			err := next.run(i, faultRandom, span)
			if errors.Is(err, errBusy) {
				return nil
			}
			rec.countFault(next.name)
			if err != nil {
				return fmt.Errorf("%s: %w", next.name, err)
			}
			return nil
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanFaultInterval)))
	}
	return group.Wait()
}

// errBusy reports that the target of a fault already has one.
var errBusy = errors.New("target already has a fault")

// locks are the locks of the targets that have a fault now.
var locks = newTargetLocks()

// lockProcess locks a process. All control hosts share one lock, so that at most
// one of them has a fault.
func (i *injector) lockProcess(p *process) (func(), error) {
	for _, c := range i.f.controls {
		if c == p {
			return locks.tryLock("control")
		}
	}
	return locks.tryLock(p.name)
}

// restart ends a process with a signal and starts it again. With SIGTERM, an
// upload to the process is in flight when it is told to stop.
func (i *injector) restart(p *process, sig syscall.Signal, span time.Duration) error {
	release, err := i.lockProcess(p)
	if err != nil {
		return err
	}
	defer release()
	return i.restartLocked(p, sig, span)
}

// restartAll kills all hosts at the same time and starts them again, unless one of
// them has a fault already.
func (i *injector) restartAll(span time.Duration) error {
	names := []string{"control"}
	for _, p := range i.f.entries {
		names = append(names, p.name)
	}
	for _, name := range names {
		release, err := locks.tryLock(name)
		if err != nil {
			return err
		}
		defer release()
	}
	var group errgroup.Group
	for _, p := range slices.Concat(i.f.controls, i.f.entries) {
		group.Go(func() error { return i.restartLocked(p, syscall.SIGKILL, span) })
	}
	return group.Wait()
}

// restartLocked is restart for a process that the caller has locked.
func (i *injector) restartLocked(p *process, sig syscall.Signal, span time.Duration) error {
	var upload errgroup.Group
	if sig == syscall.SIGTERM {
		upload.Go(func() error {
			uploadSlowly(p, i.rec, i.f.header)
			return nil
		})
		time.Sleep(slowUploadTime / 4)
	}
	endDisturbance := i.rec.startDisturbance(p.name)
	if err := p.signal(sig); err != nil {
		return err
	}
	p.wait()
	_ = upload.Wait()
	time.Sleep(min(maxDownTime, span))
	err := p.start(i.s)
	endDisturbance()
	if err != nil {
		return err
	}
	return p.awaitListening()
}

// pause suspends a process for the span.
func (i *injector) pause(p *process, span time.Duration) error {
	release, err := i.lockProcess(p)
	if err != nil {
		return err
	}
	defer release()
	defer i.rec.startDisturbance(p.name)()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	return p.signal(syscall.SIGCONT)
}

// impair applies an impairment to a proxy for the span.
func (i *injector) impair(p *proxy, imp impairment, span time.Duration) error {
	release, err := locks.tryLock(p.address)
	if err != nil {
		return err
	}
	defer release()
	p.setImpairment(imp)
	time.Sleep(span)
	p.setImpairment(impairment{})
	// The dropped bytes are not sent later, so the connections that lost them are
	// reset.
	if imp.dropToTarget || imp.dropFromTarget {
		p.reset()
	}
	return nil
}

// failBackend makes a backend fail as described for the span.
func (i *injector) failBackend(b *backend, fault standin.Fault, span time.Duration) error {
	release, err := locks.tryLock(b.proxy.address + " sick")
	if err != nil {
		return err
	}
	defer release()
	b.Fail(fault)
	time.Sleep(span)
	b.Fail(standin.Fault{})
	return nil
}

// pick returns a random element.
func pick[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}
