package exchange

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// minReadyPeers is the number of ready peers whose changes a host must hold before
// it serves, if it holds no state that a quorum confirmed.
const minReadyPeers = 3

// readiness decides when a started host holds a current configuration: once it
// holds the state that a quorum confirmed, or all changes that several ready peers
// hold. An entry host stays ready: one that lost all links continues to serve with
// what it holds.
type readiness struct {
	isReady bool
	// needsQuorum is set on a control host. Its peers hold what it sent them, so they
	// cannot show that it holds the newest changes.
	needsQuorum bool
	// source is what made the host ready.
	source readySource
	// confirmedAt is when the last successful quorum read of a control host began.
	confirmedAt time.Time
	// synced holds the ready peers that hold the same changes as this host.
	synced map[mustardramp.HostName]bool
}

// observe records the response of a peer.
func (r *readiness) observe(peer mustardramp.HostName, ready, inSync bool) {
	if r.isReady || r.needsQuorum || !ready || !inSync {
		return
	}
	if r.synced == nil {
		r.synced = make(map[mustardramp.HostName]bool)
	}
	r.synced[peer] = true
	if len(r.synced) >= minReadyPeers {
		r.isReady, r.source = true, readyByPeers
	}
}

// readySource tells what made a host ready.
type readySource uint8

const (
	readyByQuorum readySource = iota
	readyByPeers
)

// String returns the name of the source.
func (s readySource) String() string {
	return [...]string{"quorum", "peers"}[s]
}

// State identifies the set of changes that a host holds, for comparison with
// others.
type State struct {
	// Newest is the newest index of a change.
	Newest mustardramp.Index `cbor:"1,keyasint"`
	// Digest is the digest of all changes.
	Digest uint64 `cbor:"2,keyasint"`
}

// State returns the present state of the changes.
func (n *Node) State() State {
	return State{Newest: n.Newest(), Digest: n.Digests()[mustardramp.RecordChange]}
}

// Ready reports whether the host holds a current configuration and may serve.
func (n *Node) Ready() bool {
	return n.ready.isReady
}

// Confirm makes the host ready if it holds the state that a quorum confirmed. It
// reports whether the host is ready.
func (n *Node) Confirm(confirmed State) bool {
	if confirmed == n.State() && !n.ready.isReady {
		n.ready.isReady, n.ready.source = true, readyByQuorum
	}
	return n.ready.isReady
}

// confirmTimeout returns the time limit of a quorum read that begins now: the time for
// which the last one still counts, and confirmInterval at least.
func (n *Node) confirmTimeout(now time.Time) time.Duration {
	return max(confirmInterval, n.ready.confirmedAt.Add(confirmationTTL).Sub(now))
}

// noteQuorumRead records the result of a control host's quorum read. A host that is no
// longer confirmed sends a heartbeat at once to each host that it sends changes to.
func (n *Node) noteQuorumRead(now, begun time.Time, succeeded bool) {
	wasReady := n.ready.isReady
	n.SetConfirmed(succeeded)
	if succeeded {
		n.ready.confirmedAt = begun
		return
	}
	if !wasReady {
		return
	}
	for _, l := range n.links {
		if l.peer.Direct {
			l.heartbeatAt, l.statementsAt = now, now
		}
	}
}

// confirmationAge returns the time since the start of the quorum read by which this
// control host is ready, or 0 on other hosts.
func (n *Node) confirmationAge(now time.Time) time.Duration {
	if !n.ready.isReady || n.ready.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(n.ready.confirmedAt).Truncate(time.Millisecond)
}

// SetConfirmed sets the readiness of a control host. A control host is ready only
// while a quorum confirms its log, so that an isolated one makes no other host
// ready.
func (n *Node) SetConfirmed(confirmed bool) {
	n.ready.isReady, n.ready.source = confirmed, readyByQuorum
}
