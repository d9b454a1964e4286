package exchange

import (
	"slices"

	"github.com/mustardramp/mustardramp"
)

// stateFor returns the answer to a host's request for the confirmed state. It
// carries the records that the host needs to serve, unless the host holds the same
// changes.
func (n *Node) stateFor(theirs State) (confirmedState, error) {
	reply := confirmedState{State: n.State()}
	if reply.State == theirs {
		return reply, nil
	}
	var err error
	reply.Records, err = n.packBootstrap()
	return reply, err
}

// packBootstrap encodes the records that a started host needs to serve: all
// changes and backends held here.
func (n *Node) packBootstrap() ([]byte, error) {
	return n.packer.pack(slices.Concat(n.store.list(mustardramp.RecordChange), n.store.list(mustardramp.RecordBackend)))
}

// unpackBootstrap decodes the output of packBootstrap. Empty input stands for no
// records.
func (n *Node) unpackBootstrap(packed []byte) ([]mustardramp.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	return n.packer.unpack(packed)
}
