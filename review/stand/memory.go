package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits that the pages set, and the shape of the case.
const (
	// memoryLimit is the memory of a core machine in MB. The platform kills a process
	// that uses more.
	memoryLimit = 280
	// bigConfigs is how often the configuration grows by bigConfigRoutes routes.
	bigConfigs      = 3
	bigConfigRoutes = 1880
	// ordersInProgress is the number of orders of the operator at the same time.
	ordersInProgress = 8
	// endsPerHost on half of the control hosts are a fault.
	endsPerHost = 3
	// changesTime is the time for which the operator sends changes.
	changesTime = 85 * time.Second
	// restartPause is the pause before a process starts again.
	restartPause = 500 * time.Millisecond
	// orderLimit is the time in which an order must be acknowledged, besides
	// routeTime for each route.
	orderLimit = 4 * time.Second
)

// residentMemory returns the resident memory of the process of a host in MB, or 0 if
// it does not run.
func (h *host) residentMemory() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// memoryCase is the state of playMemory.
type memoryCase struct {
	fleet *fleet
	// ends counts the processes that were killed for their memory, by control host.
	ends map[*host]int
	// version is the version of the last order, acked the number of acknowledged
	// ones.
	version, acked atomic.Int64
}

// playMemory lets the configuration grow and then sends changes of it. A stand-in
// for the platform kills and restarts each control process that uses more than its
// memory.
func playMemory(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	c := &memoryCase{fleet: f, ends: map[*host]int{}}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(formationTime)
	config := newConfiguration(1, 8)
	if f.publish(config, 0, publishLimit).IsZero() {
		return false, errors.New("no acknowledgement of the first configuration")
	}
	if err := f.waitReady(publishLimit); err != nil {
		return false, err
	}
	c.version.Store(1)
	end := time.Now().Add(changesTime)
	var operator sync.WaitGroup
	operator.Go(func() { c.operate(config, trouble, end) })
	for time.Now().Before(end) {
		if err := c.checkMemory(); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	operator.Wait()
	return c.judge(), nil
}

// operate lets the configuration grow and then sends changes until the end.
func (c *memoryCase) operate(config configuration, trouble bool, end time.Time) {
	if trouble {
		for range bigConfigs {
			config.Routes = append(config.Routes, newConfiguration(0, bigConfigRoutes).Routes...)
			c.order(config, 0)
		}
	}
	var lanes sync.WaitGroup
	for lane := range ordersInProgress {
		lanes.Go(func() {
			for time.Now().Before(end) {
				c.order(config, lane)
			}
		})
	}
	lanes.Wait()
}

// order sends a configuration under the next version.
func (c *memoryCase) order(config configuration, first int) {
	config.Version = int(c.version.Add(1))
	limit := orderLimit + time.Duration(len(config.Routes))*routeTime
	if !c.fleet.publish(config, first, limit).IsZero() {
		c.acked.Add(1)
	}
}

// checkMemory kills and restarts the control processes that use too much memory.
func (c *memoryCase) checkMemory() error {
	var used []int
	for _, h := range c.fleet.controls {
		mb := h.residentMemory()
		used = append(used, mb)
		if mb <= memoryLimit {
			continue
		}
		c.ends[h]++
		c.fleet.record.add("over-memory", "host", h.name, "mb", mb, "acknowledged", c.acked.Load(), "time", c.ends[h])
		c.fleet.signal(h, syscall.SIGKILL)
		c.fleet.waitEnd(h)
		if err := c.fleet.writeSettings(h, false); err != nil {
			return err
		}
		time.Sleep(restartPause)
		if err := c.fleet.start(h); err != nil {
			return err
		}
	}
	c.fleet.record.add("memory", "mb", fmt.Sprint(used), "acknowledged", c.acked.Load())
	return nil
}

// judge reports whether processes ended endsPerHost times on half of the control
// hosts.
func (c *memoryCase) judge() bool {
	hosts := 0
	for _, h := range c.fleet.controls {
		if c.ends[h] >= endsPerHost {
			hosts++
		}
	}
	c.fleet.record.add("memory-ends", "hosts", hosts, "acknowledged", c.acked.Load())
	return 2*hosts >= len(c.fleet.controls)
}
