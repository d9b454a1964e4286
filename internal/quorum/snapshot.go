package quorum

import (
	"hash/crc32"

	"github.com/mustardramp/mustardramp"
)

// chunkBytes is the maximum size of the data in one snapshot chunk.
const chunkBytes = 64 << 10

// trailingEntries is the number of entries before a snapshot that stay in memory,
// so that members that are slightly behind need no snapshot.
const trailingEntries = 4096

// trailingBytes limits the size of the commands of these entries.
const trailingBytes = 4 << 20

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// encodedSnapshot is a snapshot with its encoding and the checksum of that.
type encodedSnapshot struct {
	Snapshot
	encoded  []byte
	checksum uint32
}

func encodeSnapshot(s Snapshot) (*encodedSnapshot, error) {
	encoded, err := encode(s)
	if err != nil {
		return nil, err
	}
	return &encodedSnapshot{Snapshot: s, encoded: encoded, checksum: crc32.Checksum(encoded, castagnoliTable)}, nil
}

func decodeSnapshot(encoded []byte) (*encodedSnapshot, error) {
	snapshot := &encodedSnapshot{encoded: encoded, checksum: crc32.Checksum(encoded, castagnoliTable)}
	return snapshot, decode(encoded, &snapshot.Snapshot)
}

// snapshotTransfer is the progress of sending a snapshot to a member.
type snapshotTransfer struct {
	snapshot *encodedSnapshot
	offset   int
}

// incomingSnapshot is a snapshot that is being received in chunks from one
// sender in one term.
type incomingSnapshot struct {
	from     MemberID
	term     Term
	index    mustardramp.Index
	checksum uint32
	data     []byte
}

// compact stores a snapshot of the state machine taken at an index and discards
// entries that it replaces. A snapshot that is not newer than the last one is
// ignored.
func (c *core) compact(index mustardramp.Index, state []byte) error {
	term, ok := c.log.term(index)
	if !ok || c.snapshot != nil && index <= c.snapshot.Index {
		return nil
	}
	snapshot, err := encodeSnapshot(Snapshot{
		Index:      index,
		Term:       term,
		Membership: c.log.membershipAt(index),
		State:      state,
	})
	if err != nil {
		return err
	}
	c.snapshot = snapshot
	c.pending.snapshot = snapshot
	c.log.discardThrough(c.log.trailingStart(index))
	return nil
}

// trailingStart returns the index after which entries up to the given one stay in
// memory: trailingEntries at most, with commands of trailingBytes at most.
func (l *memoryLog) trailingStart(index mustardramp.Index) mustardramp.Index {
	entries := l.between(l.baseIndex, index)
	first, size := len(entries), 0
	for first > 0 && len(entries)-first < trailingEntries {
		if size += len(entries[first-1].Command); size > trailingBytes {
			break
		}
		first--
	}
	return l.baseIndex + mustardramp.Index(first)
}

func (c *core) startTransfer(id MemberID, p *progress) {
	p.transfer = &snapshotTransfer{snapshot: c.snapshot}
	c.sendChunk(id, p)
}

func (c *core) sendChunk(id MemberID, p *progress) {
	snapshot, offset := p.transfer.snapshot, p.transfer.offset
	end := min(offset+chunkBytes, len(snapshot.encoded))
	c.send(Message{
		Kind:    MessageSnapshotChunk,
		To:      id,
		Index:   snapshot.Index,
		LogTerm: snapshot.Term,
		Round:   c.leaderState.round,
		Chunk:   &SnapshotChunk{Offset: offset, TotalSize: len(snapshot.encoded), Checksum: snapshot.checksum, Data: snapshot.encoded[offset:end]},
	})
}

// handleSnapshotChunk collects the chunks of a snapshot and installs it once it
// is complete. If the log already matches at the snapshot's position, only the
// commit index moves.
func (c *core) handleSnapshotChunk(m Message) {
	c.followLeader(m.From)
	if c.matchesAt(m.Index, m.LogTerm) {
		// The entries after the snapshot are kept, since they may already be
		// acknowledged.
		c.commitIndex = max(c.commitIndex, m.Index)
		c.incoming = nil
		c.acknowledge(m, m.Index)
		return
	}
	if !c.continuesIncoming(m) {
		c.incoming = &incomingSnapshot{from: m.From, term: m.Term, index: m.Index, checksum: m.Chunk.Checksum}
	}
	if m.Chunk.Offset == len(c.incoming.data) {
		c.incoming.data = append(c.incoming.data, m.Chunk.Data...)
	}
	if len(c.incoming.data) < m.Chunk.TotalSize {
		c.requestChunk(m)
		return
	}
	c.installSnapshot(m)
}

// continuesIncoming reports whether a chunk belongs to the snapshot that is being
// received.
func (c *core) continuesIncoming(m Message) bool {
	in := c.incoming
	return in != nil && in.from == m.From && in.term == m.Term && in.index == m.Index && in.checksum == m.Chunk.Checksum
}

// requestChunk asks the leader for the data that follows what was received.
func (c *core) requestChunk(m Message) {
	c.reply(Message{
		Kind:  MessageSnapshotChunkReply,
		To:    m.From,
		Index: m.Index,
		Round: m.Round,
		Chunk: &SnapshotChunk{Offset: len(c.incoming.data)},
	})
}

// installSnapshot replaces the log by the received snapshot. A snapshot that is
// damaged is requested again from the start.
func (c *core) installSnapshot(m Message) {
	data := c.incoming.data
	c.incoming.data = nil
	snapshot, err := decodeSnapshot(data)
	if err != nil || snapshot.checksum != m.Chunk.Checksum || snapshot.Index != m.Index {
		c.requestChunk(m)
		return
	}
	c.incoming = nil
	c.snapshot = snapshot
	c.log.reset(&snapshot.Snapshot)
	c.generation++
	c.synced.index = 0
	c.commitIndex = snapshot.Index
	c.dispatched = snapshot.Index
	c.pending.snapshot = snapshot
	c.out.restore = &snapshot.Snapshot
	c.acknowledge(m, m.Index)
}

// handleSnapshotChunkReply sends the chunk from the offset that the member
// requests. A repeated request for the current offset is ignored: the next
// heartbeat sends that chunk again.
func (c *core) handleSnapshotChunkReply(m Message) {
	p := c.recordActivity(m)
	if p == nil || p.transfer == nil || p.transfer.snapshot.Index != m.Index || m.Chunk == nil {
		return
	}
	if m.Chunk.Offset == p.transfer.offset {
		return
	}
	if m.Chunk.Offset > len(p.transfer.snapshot.encoded) {
		return
	}
	p.transfer.offset = m.Chunk.Offset
	c.sendChunk(m.From, p)
}
