package quorum

import "github.com/mustardramp/mustardramp"

// MessageKind names what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	// MessagePreVote asks whether a vote would be granted.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	// MessageVote asks for the vote of a term.
	MessageVote
	MessageVoteReply
	// MessageAppend carries entries and the leader's commit index; without
	// entries it is a heartbeat.
	MessageAppend
	MessageAppendReply
	// MessageHeard answers an append's round before its entries are synced.
	MessageHeard
	// MessagePiece carries a part of a snapshot.
	MessagePiece
	MessagePieceReply
	// MessagePropose carries proposals to the leader.
	MessagePropose
	// MessageProposeReply names proposals that the receiver did not append.
	MessageProposeReply
	// MessageRead asks the leader for a confirmed index.
	MessageRead
	MessageReadReply
	// MessageHello asks a host whether its folder is blank.
	MessageHello
	MessageHelloReply
	// MessageChange asks the leader to change the membership.
	MessageChange
)

// Round counts a leader's rounds of confirmation.
type Round uint64

// Piece is a part of a snapshot's encoding.
type Piece struct {
	Offset int    `cbor:"1,keyasint"`
	Size   int    `cbor:"2,keyasint"`
	Sum    uint32 `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
}

// Message goes from one member to another. It may be lost, repeated, delayed
// and overtaken.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	// To is 0 in messages to a host whose identity is not known.
	To   MemberID `cbor:"3,keyasint"`
	Term Term     `cbor:"4,keyasint"`
	// Index and LogTerm are a position: of the entry before Entries, the last
	// entry of a candidate, the matching entry of a reply, a confirmed read.
	Index   mustardramp.Index `cbor:"5,keyasint,omitempty"`
	LogTerm Term              `cbor:"6,keyasint,omitempty"`
	Entries []Entry           `cbor:"7,keyasint,omitempty"`
	Commit  mustardramp.Index `cbor:"8,keyasint,omitempty"`
	// Reject is set in replies that refuse; Hint is then where to go on.
	Reject bool              `cbor:"9,keyasint,omitempty"`
	Hint   mustardramp.Index `cbor:"10,keyasint,omitempty"`
	Round  Round             `cbor:"11,keyasint,omitempty"`
	Piece  *Piece            `cbor:"12,keyasint,omitempty"`
	// Request names a read.
	Request uint64 `cbor:"13,keyasint,omitempty"`
	// Sender is set in MessageHello and its reply.
	Sender *Member `cbor:"14,keyasint,omitempty"`
	// Blank is set in a MessageHelloReply from a blank folder.
	Blank bool `cbor:"15,keyasint,omitempty"`
	// Change is set in MessageChange.
	Change *Change `cbor:"16,keyasint,omitempty"`
}
