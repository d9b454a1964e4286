package exchange

import "github.com/mustardramp/mustardramp"

// packChanges encodes all changes held.
func (n *Node) packChanges() ([]byte, error) {
	return n.packer.pack(n.store.list(mustardramp.RecordChange))
}

// unpackChanges reads what packChanges encoded; nothing stands for no changes.
func (n *Node) unpackChanges(packed []byte) ([]mustardramp.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	return n.packer.unpack(packed)
}
