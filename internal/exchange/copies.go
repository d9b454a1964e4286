package exchange

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
)

// copyPause is the pause between two looks at the number of copies.
const copyPause = 5 * time.Millisecond

// copies counts the entry hosts that are known to hold the newest version of a
// change.
type copies struct {
	version mustardramp.Version
	hosts   map[mustardramp.HostName]bool
}

// noteCopy takes in that a peer holds a version of a change.
func (n *Node) noteCopy(l *peerLink, at ref, v mustardramp.Version) {
	if at.kind != mustardramp.RecordChange || l.peer.Control || v != n.store.version(at) {
		return
	}
	c := n.copies[at]
	if c.version != v || c.hosts == nil {
		c = copies{v, make(map[mustardramp.HostName]bool)}
		n.copies[at] = c
	}
	c.hosts[l.peer.Name] = true
}

// Copies returns the number of entry hosts that are known to hold a change, or
// a newer one of its key.
func (n *Node) Copies(r mustardramp.Record) int {
	c := n.copies[refOf(r)]
	if r.Version.After(c.version) {
		return 0
	}
	return len(c.hosts)
}

// WaitCopies returns once a number of entry hosts are known to hold a change,
// so that it spreads further even if all control hosts are lost.
func (e *Exchange) WaitCopies(ctx context.Context, r mustardramp.Record, count int) error {
	for {
		e.mu.Lock()
		held := e.core.Node.Copies(r)
		e.mu.Unlock()
		if held >= count {
			return nil
		}
		if !sleep(ctx, copyPause) {
			return ctx.Err()
		}
	}
}
