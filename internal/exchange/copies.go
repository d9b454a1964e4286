package exchange

import (
	"context"
	"time"

	"github.com/mustardramp/mustardramp"
)

// copyPollInterval is the time between two checks of the number of copies.
const copyPollInterval = 5 * time.Millisecond

// copies holds the entry hosts that are known to hold the newest version of a
// change.
type copies struct {
	version mustardramp.Version
	hosts   map[mustardramp.HostName]bool
}

// noteCopy records that a peer holds a version of a change.
func (n *Node) noteCopy(l *peerLink, ref recordRef, v mustardramp.Version) {
	if ref.kind != mustardramp.RecordChange || l.peer.Control || v != n.store.version(ref) {
		return
	}
	c := n.copies[ref]
	if c.version != v || c.hosts == nil {
		c = copies{v, make(map[mustardramp.HostName]bool)}
		n.copies[ref] = c
	}
	c.hosts[l.peer.Name] = true
}

// Copies returns the number of entry hosts that are known to hold a change or a
// newer version of it.
func (n *Node) Copies(r mustardramp.Record) int {
	c := n.copies[refOf(r)]
	if r.Version.After(c.version) {
		return 0
	}
	return len(c.hosts)
}

// WaitCopies returns once count entry hosts are known to hold a change, so that
// the change spreads further even if all control hosts are lost.
func (e *Exchange) WaitCopies(ctx context.Context, r mustardramp.Record, count int) error {
	for {
		e.mu.Lock()
		held := e.core.Node.Copies(r)
		e.mu.Unlock()
		if held >= count {
			return nil
		}
		if !sleep(ctx, copyPollInterval) {
			return ctx.Err()
		}
	}
}
