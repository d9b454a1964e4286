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
func (l *targetLocks) tryLock(name string) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[name] {
		return nil, errBusy
	}
	l.held[name] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.held, name)
	}, nil
}
