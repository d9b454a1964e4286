package main

import "sync"

// claimed holds what has a fault now.
type claimed struct {
	mu   sync.Mutex
	held map[string]bool
}

func newClaims() *claimed {
	return &claimed{held: map[string]bool{}}
}

// take claims something, or says that it has a fault already.
func (c *claimed) take(name string) (func(), error) {
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
