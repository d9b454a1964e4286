package exchange

import (
	"github.com/mustardramp/mustardramp"
)

// comparedKinds are the kinds whose digests hosts compare. Summaries are not
// among them: each is replaced soon.
const comparedKinds = mustardramp.RecordHost + 1

// Sums holds the digest of all records of each compared kind.
type Sums [comparedKinds]uint64

// Stub names a version of a record without its payload.
type Stub struct {
	_       struct{} `cbor:",toarray"`
	Kind    mustardramp.RecordKind
	ID      uint64
	Version mustardramp.Version
}

func (s Stub) ref() ref {
	return ref{s.Kind, s.ID}
}

// Request is what a host sends over a link.
type Request struct {
	From mustardramp.HostName `cbor:"1,keyasint"`
	// Ready says that the sender knows a current configuration.
	Ready bool `cbor:"2,keyasint,omitempty"`
	Sums  Sums `cbor:"3,keyasint"`
	// Compare asks for the digests by bucket of the kinds that differ.
	Compare bool `cbor:"4,keyasint,omitempty"`
	// News holds packed records.
	News []byte `cbor:"5,keyasint,omitempty"`
	// Have offers records too long to be sent unasked.
	Have  []Stub `cbor:"6,keyasint,omitempty"`
	Fetch *Fetch `cbor:"7,keyasint,omitempty"`

	// sent lists what News and Have carry.
	sent []ref
	// pushed lists what News carries.
	pushed []Stub
}

// stubBytes and headBytes are the lengths of a stub and of the fixed fields of
// a message.
const (
	stubBytes = 22
	headBytes = 50
)

// size returns the length of the request on the wire.
func (r *Request) size() int {
	n := headBytes + len(r.News) + stubBytes*len(r.Have)
	if r.Fetch != nil {
		n += headBytes + stubBytes*len(r.Fetch.Stubs)
	}
	return wireBytes(n)
}

// size returns the length of the response on the wire, without its page.
func (r *Response) size() int {
	n := headBytes + len(r.Replies)
	for _, sums := range r.Buckets {
		n += 9 * len(sums)
	}
	return wireBytes(n)
}

// Reply says what to do with an offered record.
type Reply uint8

// The replies to an offered record.
const (
	// ReplyKnown means that the peer has it.
	ReplyKnown Reply = iota
	// ReplyWanted means that the peer asks for it.
	ReplyWanted
	// ReplyLater means that the peer expects it from another host.
	ReplyLater
)

// Response answers a Request.
type Response struct {
	Ready bool `cbor:"1,keyasint,omitempty"`
	Sums  Sums `cbor:"2,keyasint"`
	// Newest is the newest index of a change that the answering host holds.
	Newest mustardramp.Index `cbor:"3,keyasint,omitempty"`
	// Replies has one entry for each of the request's Have.
	Replies []Reply `cbor:"4,keyasint,omitempty"`
	// Buckets holds the digests by bucket of each kind that differs.
	Buckets map[mustardramp.RecordKind][]uint64 `cbor:"5,keyasint,omitempty"`
	Page    *Page                               `cbor:"6,keyasint,omitempty"`
}

// Fetch asks for the records of a range of keys that the sender lacks.
type Fetch struct {
	Kind mustardramp.RecordKind `cbor:"1,keyasint"`
	// Mask has a bit for each bucket that is asked for.
	Mask uint64 `cbor:"2,keyasint"`
	// The range begins above After, or with the lowest hash if Start is set.
	After uint64 `cbor:"3,keyasint,omitempty"`
	Start bool   `cbor:"4,keyasint,omitempty"`
	// The range ends with Until.
	Until uint64 `cbor:"5,keyasint"`
	// Stubs are the sender's own versions in the range.
	Stubs []Stub `cbor:"6,keyasint,omitempty"`
}

// Page answers a Fetch.
type Page struct {
	// Records holds packed records.
	Records []byte `cbor:"1,keyasint,omitempty"`
	// After is the end of the range that the page covers.
	After uint64 `cbor:"2,keyasint"`
	// Cut is set when the page does not cover the whole range.
	Cut bool `cbor:"3,keyasint,omitempty"`
	// Wanted are the hashes of keys for which the asking host's version is
	// newer.
	Wanted []uint64 `cbor:"4,keyasint,omitempty"`
}
