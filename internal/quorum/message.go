package quorum

import "github.com/mustardramp/mustardramp"

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	// MessagePreVote asks whether the receiver would grant its vote.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	// MessageVote asks for the receiver's vote in a term.
	MessageVote
	MessageVoteReply
	// MessageAppend carries entries and the leader's commit index; without
	// entries it is a heartbeat.
	MessageAppend
	MessageAppendReply
	// MessageRoundReply confirms the round of an append before the entries of
	// that append are synced.
	MessageRoundReply
	// MessageSnapshotChunk carries a part of a snapshot.
	MessageSnapshotChunk
	MessageSnapshotChunkReply
	// MessagePropose carries proposals to the leader.
	MessagePropose
	// MessageProposeReply lists proposals that the receiver did not append.
	MessageProposeReply
	// MessageRead asks the leader for the index that a linearizable read must
	// wait for.
	MessageRead
	MessageReadReply
	// MessageHello asks a host whether its member is blank.
	MessageHello
	MessageHelloReply
	// MessageChange asks the leader to change the membership.
	MessageChange
)

// Round numbers the rounds of messages by which a leader confirms that it still
// leads.
type Round uint64

// SnapshotChunk is a part of an encoded snapshot. Offset is the position of Data,
// or, in a reply, the position from which the receiver needs data. TotalSize and
// Checksum are those of the whole encoding.
type SnapshotChunk struct {
	Offset    int    `cbor:"1,keyasint"`
	TotalSize int    `cbor:"2,keyasint"`
	Checksum  uint32 `cbor:"3,keyasint"`
	Data      []byte `cbor:"4,keyasint,omitempty"`
}

// Message is sent from one member to another. It may be lost, duplicated,
// delayed or reordered.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	// To is 0 in messages to a host whose member ID is not known.
	To   MemberID `cbor:"3,keyasint"`
	Term Term     `cbor:"4,keyasint"`
	// Index and LogTerm are a position in the log: of the entry before Entries,
	// of the last entry of a candidate, of the last entry of a snapshot, of the
	// last matching entry in a reply, or of a confirmed read.
	Index   mustardramp.Index `cbor:"5,keyasint,omitempty"`
	LogTerm Term              `cbor:"6,keyasint,omitempty"`
	Entries []Entry           `cbor:"7,keyasint,omitempty"`
	Commit  mustardramp.Index `cbor:"8,keyasint,omitempty"`
	// Reject is set in replies that refuse the request. In a refused append, Hint
	// is the last index at which the logs may agree.
	Reject bool              `cbor:"9,keyasint,omitempty"`
	Hint   mustardramp.Index `cbor:"10,keyasint,omitempty"`
	Round  Round             `cbor:"11,keyasint,omitempty"`
	Chunk  *SnapshotChunk    `cbor:"12,keyasint,omitempty"`
	// Request identifies a read.
	Request uint64 `cbor:"13,keyasint,omitempty"`
	// Sender is set in MessageHello and MessageHelloReply.
	Sender *Member `cbor:"14,keyasint,omitempty"`
	// Blank is set in a MessageHelloReply of a blank member.
	Blank bool `cbor:"15,keyasint,omitempty"`
	// Change is set in MessageChange.
	Change *Change `cbor:"16,keyasint,omitempty"`
	// Busy is set in an append of a leader that refuses large proposals, and in the reply
	// of a member that accepts no entries, because too much is left to apply there.
	Busy bool `cbor:"17,keyasint,omitempty"`
}
