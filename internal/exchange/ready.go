package exchange

import (
	"github.com/mustardramp/mustardramp"
)

// readyPeers is the number of ready peers whose changes a host must hold before
// it serves, if no quorum has told it the present state.
const readyPeers = 3

// readiness decides when a started host knows a current configuration: after
// it holds what a quorum confirmed, or all that several ready peers hold. It
// never goes back: a host that lost all links serves on with what it knows.
type readiness struct {
	is bool
	// synced holds the ready peers whose changes this host holds.
	synced map[mustardramp.HostName]bool
}

// heard takes in a response of a peer.
func (r *readiness) heard(peer mustardramp.HostName, ready, inSync bool) {
	if r.is || !ready || !inSync {
		return
	}
	if r.synced == nil {
		r.synced = make(map[mustardramp.HostName]bool)
	}
	r.synced[peer] = true
	r.is = len(r.synced) >= readyPeers
}

// State is the state of the changes at a host, for others to compare with.
type State struct {
	// Newest is the newest index of a change.
	Newest mustardramp.Index `cbor:"1,keyasint"`
	// Sum is the digest of all changes.
	Sum uint64 `cbor:"2,keyasint"`
}

// State returns the present state of the changes.
func (n *Node) State() State {
	return State{Newest: n.Newest(), Sum: n.Sums()[mustardramp.RecordChange]}
}

// Ready reports whether the host knows a current configuration and may serve.
func (n *Node) Ready() bool {
	return n.ready.is
}

// Confirm takes in the state that a quorum confirmed. It reports whether the
// host holds it: only then is the host ready.
func (n *Node) Confirm(confirmed State) bool {
	if confirmed == n.State() {
		n.ready.is = true
	}
	return n.ready.is
}

// SetConfirmed sets the readiness of a control host: it lasts while a quorum
// confirms the host's log, so that an isolated one makes no other host ready.
func (n *Node) SetConfirmed(confirmed bool) {
	n.ready.is = confirmed
}
