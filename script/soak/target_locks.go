package main

import "sync"

// targetLocks holds a lock for each target that has a fault now.
type targetLocks struct {
	mu   sync.Mutex
	held map[string]bool
}

func newTargetLocks() *targetLocks {
	return &targetLocks{held: map[string]bool{}}
}

// tryLock locks a target and returns the function that unlocks it. It returns
// errBusy if the target has a fault already.
func (c *targetLocks) tryLock(name string) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[name] {
		return nil, errBusy
	}
	c.held[name] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.held, name)
	}, nil
}
