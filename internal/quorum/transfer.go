package quorum

import (
	"hash/crc32"

	"github.com/mustardramp/mustardramp"
)

// pieceSize is the size of a piece of a snapshot, in bytes.
const pieceSize = 64 << 10

// trailingEntries is how many entries before a snapshot stay in memory for
// members that are a little behind.
const trailingEntries = 4096

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// image is a snapshot with its encoding.
type image struct {
	Snapshot
	encoded []byte
	sum     uint32
}

func newImage(s Snapshot) (*image, error) {
	encoded, err := encode(s)
	if err != nil {
		return nil, err
	}
	return &image{Snapshot: s, encoded: encoded, sum: crc32.Checksum(encoded, castagnoli)}, nil
}

func openImage(encoded []byte) (*image, error) {
	i := &image{encoded: encoded, sum: crc32.Checksum(encoded, castagnoli)}
	return i, decode(encoded, &i.Snapshot)
}

// transfer is a snapshot on its way to a member.
type transfer struct {
	image  *image
	offset int
}

// incoming is a snapshot that arrives in pieces. It belongs to one sender and
// one term.
type incoming struct {
	from  MemberID
	term  Term
	index mustardramp.Index
	sum   uint32
	data  []byte
}

// compact takes in a snapshot of the machine's state.
func (c *core) compact(index mustardramp.Index, state []byte) error {
	term, ok := c.log.term(index)
	if !ok || c.snapshot != nil && index <= c.snapshot.Index {
		return nil
	}
	i, err := newImage(Snapshot{
		Index:      index,
		Term:       term,
		Membership: c.log.membershipAt(index),
		State:      state,
	})
	if err != nil {
		return err
	}
	c.snapshot = i
	c.pending.snapshot = i
	if index > trailingEntries {
		c.log.drop(index - trailingEntries)
	}
	return nil
}

func (c *core) startTransfer(id MemberID, p *progress) {
	p.transfer = &transfer{image: c.snapshot}
	c.sendPiece(id, p)
}

func (c *core) sendPiece(id MemberID, p *progress) {
	i, offset := p.transfer.image, p.transfer.offset
	end := min(offset+pieceSize, len(i.encoded))
	c.send(Message{
		Kind:    MessagePiece,
		To:      id,
		Index:   i.Index,
		LogTerm: i.Term,
		Round:   c.leading.round,
		Piece:   &Piece{Offset: offset, Size: len(i.encoded), Sum: i.sum, Data: i.encoded[offset:end]},
	})
}

func (c *core) handlePiece(m Message) {
	c.follow(m.From)
	if c.holds(m.Index, m.LogTerm) {
		// The entries after the snapshot stay: they may be acknowledged.
		c.commit = max(c.commit, m.Index)
		c.incoming = nil
		c.acknowledge(m, m.Index)
		return
	}
	if !c.continues(m) {
		c.incoming = &incoming{from: m.From, term: m.Term, index: m.Index, sum: m.Piece.Sum}
	}
	if m.Piece.Offset == len(c.incoming.data) {
		c.incoming.data = append(c.incoming.data, m.Piece.Data...)
	}
	if len(c.incoming.data) < m.Piece.Size {
		c.askPiece(m)
		return
	}
	c.install(m)
}

// continues reports whether a piece belongs to the snapshot under way.
func (c *core) continues(m Message) bool {
	in := c.incoming
	return in != nil && in.from == m.From && in.term == m.Term && in.index == m.Index && in.sum == m.Piece.Sum
}

func (c *core) askPiece(m Message) {
	c.reply(Message{
		Kind:  MessagePieceReply,
		To:    m.From,
		Index: m.Index,
		Round: m.Round,
		Piece: &Piece{Offset: len(c.incoming.data)},
	})
}

// install replaces the log by the snapshot that has arrived. One that arrived
// damaged is asked for again.
func (c *core) install(m Message) {
	data := c.incoming.data
	c.incoming.data = nil
	i, err := openImage(data)
	if err != nil || i.sum != m.Piece.Sum || i.Index != m.Index {
		c.askPiece(m)
		return
	}
	c.incoming = nil
	c.snapshot = i
	c.log.reset(&i.Snapshot)
	c.generation++
	c.synced.index = 0
	c.commit = i.Index
	c.handed = i.Index
	c.pending.snapshot = i
	c.out.restore = &i.Snapshot
	c.acknowledge(m, m.Index)
}

func (c *core) handlePieceReply(m Message) {
	p := c.heardFrom(m)
	if p == nil || p.transfer == nil || p.transfer.image.Index != m.Index || m.Piece == nil {
		return
	}
	if m.Piece.Offset == p.transfer.offset {
		return
	}
	if m.Piece.Offset > len(p.transfer.image.encoded) {
		return
	}
	p.transfer.offset = m.Piece.Offset
	c.sendPiece(m.From, p)
}
