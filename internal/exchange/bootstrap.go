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
	if reply.Records, err = n.packBootstrap(); err != nil {
		return reply, err
	}
	if hosts := n.store.list(mustardramp.RecordHost); len(hosts) <= maxBootstrapHosts {
		reply.Hosts, err = n.packer.pack(hosts)
	}
	return reply, err
}

// maxBootstrapHosts is the number of statements up to which a started host gets those of
// all hosts at once. In a larger fleet the answer would load the links of small hosts, and
// the host learns of the others from its peers.
const maxBootstrapHosts = 1024

// packBootstrap encodes the records that a started host needs to serve: all
// changes and backends held here.
func (n *Node) packBootstrap() ([]byte, error) {
	return n.packer.pack(slices.Concat(n.store.list(mustardramp.RecordChange), n.store.list(mustardramp.RecordBackend)))
}

// adopt stores the records that are newer than those held, without sending them to
// peers, which learn of them on their own. It returns these accepted records.
func (n *Node) adopt(records []mustardramp.Record) []mustardramp.Record {
	var accepted []mustardramp.Record
	for _, r := range records {
		if n.store.merge(r) {
			accepted = append(accepted, r)
		}
	}
	return accepted
}

// unpackBootstrap decodes the output of packBootstrap. Empty input stands for no
// records.
func (n *Node) unpackBootstrap(packed []byte) ([]mustardramp.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	return n.packer.unpack(packed)
}
