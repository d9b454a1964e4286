package main

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits that the pages set, and the shape of the case.
const (
	// drainPeriod is the bound of the settings; drainMargin covers the time between
	// the acknowledgement and the moment at which the backend server has read it.
	drainPeriod = 2 * time.Second
	drainMargin = 100 * time.Millisecond
	// shortestFreeze is the time for which an entry host stands still in the first
	// rounds. It grows by freezeStep with each turn of the hosts, and stays below the
	// 3.5 s of the small deployments.
	shortestFreeze = 2680 * time.Millisecond
	freezeStep     = 60 * time.Millisecond
	// drainEntries, drainBackends and drainLeaving are the numbers of entry hosts,
	// of backend servers, and of those that leave during a freeze.
	drainEntries  = 4
	drainBackends = 16
	drainLeaving  = 2
	drainRounds   = 3 * drainEntries
	drainLanes    = 12
)

// callers sends requests to an entry host, one after the other in each of a number
// of lanes, until the returned function is called.
func (f *fleet) callers(h *host, lanes int, path string) (stop func()) {
	var stopped atomic.Bool
	var running sync.WaitGroup
	for range lanes {
		running.Go(func() {
			for !stopped.Load() {
				if _, status := f.send(h, http.MethodPost, "jepu9.example", path, 4*time.Second); status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return func() {
		stopped.Store(true)
		running.Wait()
	}
}

// drainCase is the state of playDrain.
type drainCase struct {
	fleet    *fleet
	ledger   *ledger
	backends []*backend
	// started counts the backend servers started so far.
	started int
	// acked holds the time of the acknowledgement by backend server.
	acked map[string]time.Time
}

// playDrain freezes the entry hosts in turn. During each freeze some backend servers
// leave, and every request that reaches one of them later than drainPeriod after the
// acknowledgement breaks the rule. The callers use only entry hosts that are not
// frozen in that round.
func playDrain(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, drainEntries)
	if err != nil {
		return false, err
	}
	defer f.stop()
	c := &drainCase{fleet: f, ledger: &ledger{}, acked: map[string]time.Time{}}
	if err := c.start(); err != nil {
		return false, err
	}
	for round := range drainRounds {
		if err := c.playRound(f.entries[round%drainEntries], shortestFreeze+time.Duration(round/drainEntries)*freezeStep, trouble); err != nil {
			return false, err
		}
	}
	return c.judge(), nil
}

func (c *drainCase) start() error {
	if err := c.fleet.startAll(); err != nil {
		return err
	}
	for range drainBackends {
		if err := c.addBackend(); err != nil {
			return err
		}
	}
	time.Sleep(formationTime)
	first := configuration{Version: 1, Services: []string{"tildeling"}, Routes: []route{{"r-claim", "jepu9.example", "/claim/", "unsafe", "tildeling"}}}
	if c.fleet.publish(first, 0, publishLimit).IsZero() {
		return errors.New("no acknowledgement of the first configuration")
	}
	return c.fleet.waitReady(publishLimit)
}

func (c *drainCase) addBackend() error {
	b, err := c.fleet.startBackend(c.ledger, "tildeling", c.started, 40*time.Millisecond)
	c.started++
	c.backends = append(c.backends, b)
	return err
}

// playRound freezes one entry host while two backend servers leave.
func (c *drainCase) playRound(frozen *host, length time.Duration, trouble bool) error {
	var stops []func()
	for _, h := range c.fleet.entries {
		if h != frozen {
			stops = append(stops, c.fleet.callers(h, drainLanes, "/claim/x"))
		}
	}
	time.Sleep(time.Second)
	if trouble {
		c.fleet.signal(frozen, syscall.SIGSTOP)
	}
	began := time.Now()
	leaving := c.backends[:drainLeaving]
	c.backends = c.backends[drainLeaving:]
	for _, b := range leaving {
		if !b.leave(time.Second) {
			return errors.New("no acknowledgement of a leaving backend server")
		}
		c.acked[b.id] = time.Now()
	}
	time.Sleep(time.Until(began.Add(length)))
	if trouble {
		c.fleet.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	for _, stop := range stops {
		stop()
	}
	for _, b := range leaving {
		b.stop()
		if err := c.addBackend(); err != nil {
			return err
		}
	}
	// The woken host has time to be counted as alive again.
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// judge records the requests that reached a backend server too late and reports
// whether there are any.
func (c *drainCase) judge() bool {
	broken := false
	for _, x := range c.ledger.list() {
		at, ok := c.acked[x.backend]
		if !ok || x.at.Sub(at) <= drainPeriod+drainMargin {
			continue
		}
		broken = true
		c.fleet.record.add("run-after-drain", "request", x.id, "backend", x.backend, "after-ms", x.at.Sub(at).Milliseconds())
	}
	return broken
}
