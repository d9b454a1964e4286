package exchange

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// comparedKinds is the number of kinds whose digests hosts compare; they come
// first. Summaries are not compared, because each is replaced soon.
const comparedKinds = mustardramp.RecordHost + 1

// Digests holds the digest of all records of each compared kind.
type Digests [comparedKinds]uint64

// RecordHeader identifies a version of a record without its payload.
type RecordHeader struct {
	_       struct{} `cbor:",toarray"`
	Kind    mustardramp.RecordKind
	ID      uint64
	Version mustardramp.Version
}

func (h RecordHeader) ref() recordRef {
	return recordRef{h.Kind, h.ID}
}

// Request is a message from a host to its peer.
type Request struct {
	From mustardramp.HostName `cbor:"1,keyasint"`
	// Ready is set when the sender holds a current configuration.
	Ready   bool    `cbor:"2,keyasint,omitempty"`
	Digests Digests `cbor:"3,keyasint"`
	// Compare asks for the bucket digests of the kinds that differ.
	Compare bool `cbor:"4,keyasint,omitempty"`
	// Records holds packed records.
	Records []byte `cbor:"5,keyasint,omitempty"`
	// Offers lists records that are too long to be sent without being asked
	// for.
	Offers []RecordHeader `cbor:"6,keyasint,omitempty"`
	Fetch  *Fetch         `cbor:"7,keyasint,omitempty"`
	// Age is the time since the start of the quorum read by which a control host is
	// ready. Hosts of an older build send none.
	Age time.Duration `cbor:"8,keyasint,omitempty"`

	// sent lists what Records and Offers carry.
	sent []recordRef
	// pushed lists what Records carries.
	pushed []RecordHeader
}

// The approximate lengths of a RecordHeader and of the fixed fields of a message.
const (
	recordHeaderBytes = 22
	fixedFieldBytes   = 50
)

// size returns the length of the request on the wire in bytes.
func (r *Request) size() int {
	n := fixedFieldBytes + len(r.Records) + recordHeaderBytes*len(r.Offers)
	if r.Fetch != nil {
		n += fixedFieldBytes + recordHeaderBytes*len(r.Fetch.Headers)
	}
	return wireBytes(n)
}

// size returns the length of the response on the wire in bytes, without its
// page.
func (r *Response) size() int {
	n := fixedFieldBytes + len(r.Replies)
	for _, digests := range r.Buckets {
		n += 9 * len(digests)
	}
	return wireBytes(n)
}

// Reply tells the sender what to do with an offered record.
type Reply uint8

// The replies to an offered record.
const (
	// ReplyKnown means that the peer holds this or a newer version.
	ReplyKnown Reply = iota
	// ReplyWanted means that the peer asks for the record.
	ReplyWanted
	// ReplyLater means that the peer expects the record from another host, and
	// that it should be offered again later.
	ReplyLater
)

// Response answers a Request.
type Response struct {
	Ready   bool    `cbor:"1,keyasint,omitempty"`
	Digests Digests `cbor:"2,keyasint"`
	// Newest is the newest index of a change that the answering host holds.
	Newest mustardramp.Index `cbor:"3,keyasint,omitempty"`
	// Replies has one entry for each of the request's Offers.
	Replies []Reply `cbor:"4,keyasint,omitempty"`
	// Buckets holds the bucket digests of each kind that differs.
	Buckets map[mustardramp.RecordKind][]uint64 `cbor:"5,keyasint,omitempty"`
	Page    *Page                               `cbor:"6,keyasint,omitempty"`
	// Age is the same as Request.Age.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// Fetch asks for the records that the sender lacks in a range of key hashes.
type Fetch struct {
	Kind mustardramp.RecordKind `cbor:"1,keyasint"`
	// Mask has bit b set if bucket b is asked for.
	Mask uint64 `cbor:"2,keyasint"`
	// After is the hash above which the range begins, unless Start is set.
	After uint64 `cbor:"3,keyasint,omitempty"`
	// Start makes the range begin with the lowest hash.
	Start bool `cbor:"4,keyasint,omitempty"`
	// Until is the last hash of the range.
	Until uint64 `cbor:"5,keyasint"`
	// Headers lists the sender's own versions in the range.
	Headers []RecordHeader `cbor:"6,keyasint,omitempty"`
}

// Page answers a Fetch.
type Page struct {
	// Records holds packed records.
	Records []byte `cbor:"1,keyasint,omitempty"`
	// After is the last hash that the page covers.
	After uint64 `cbor:"2,keyasint"`
	// Truncated is set when the page does not cover the whole range.
	Truncated bool `cbor:"3,keyasint,omitempty"`
	// Wanted lists the hashes of the keys for which the asking host's version
	// is newer.
	Wanted []uint64 `cbor:"4,keyasint,omitempty"`
}
