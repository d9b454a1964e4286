package exchange

import (
	"slices"

	"github.com/mustardramp/mustardramp"
)

// stateFor answers a host's question for the present state: with what it needs to
// serve unless its changes are the same.
func (n *Node) stateFor(theirs State) (confirmedState, error) {
	reply := confirmedState{State: n.State()}
	if reply.State == theirs {
		return reply, nil
	}
	var err error
	reply.Records, err = n.packStart()
	return reply, err
}

// packStart encodes what a started host needs to serve: all changes and
// backends held.
func (n *Node) packStart() ([]byte, error) {
	return n.packer.pack(slices.Concat(n.store.list(mustardramp.RecordChange), n.store.list(mustardramp.RecordBackend)))
}

// unpackStart reads what packStart encoded; nothing stands for no records.
func (n *Node) unpackStart(packed []byte) ([]mustardramp.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	return n.packer.unpack(packed)
}
