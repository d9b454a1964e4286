package quorum

import (
	"bytes"
	"compress/flate"
	"io"

	"k8s.io/klog/v2"
)

const (
	// maxWholePacketBytes is the approximate size above which the messages of a packet
	// are sent in several packets. Parts are compressed and fit maxBytesInFlight, so
	// that large messages take little memory while they are sent. It is well below
	// link.DefaultMaxMessage, since the encoding on a link is longer.
	maxWholePacketBytes = 256 << 10
	// partBytes is the maximum size of the data in one part.
	partBytes = 256 << 10
	// maxAssembledBytes limits the decompressed size of messages that came in parts.
	maxAssembledBytes = 64 << 20
)

// part is a piece of the compressed messages of one packet.
type part struct {
	// Number is the position among the pieces, from 0, and Last is set in the last one.
	Number int    `cbor:"1,keyasint"`
	Last   bool   `cbor:"2,keyasint,omitempty"`
	Data   []byte `cbor:"3,keyasint"`
}

// splitMessages returns the parts in which messages that are too long for one packet
// are sent.
func splitMessages(messages []Message) ([]*part, error) {
	encoded, err := encode(messages)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	var parts []*part
	for compressed.Len() > 0 {
		parts = append(parts, &part{Number: len(parts), Data: compressed.Next(partBytes)})
	}
	parts[len(parts)-1].Last = true
	return parts, nil
}

// assembly collects the parts of one sender's messages. Its zero value is empty.
type assembly struct {
	data []byte
	// next is the number of the next part.
	next int
}

// add adds a part. After the last one it returns the messages. It drops a part that
// does not follow the one before, and everything before that: the members repeat what
// is still needed.
func (a *assembly) add(p *part) []Message {
	if p.Number == 0 {
		*a = assembly{}
	}
	if p.Number != a.next || len(a.data)+len(p.Data) > maxAssembledBytes {
		*a = assembly{}
		return nil
	}
	a.data = append(a.data, p.Data...)
	a.next++
	if !p.Last {
		return nil
	}
	messages, err := joinParts(a.data)
	*a = assembly{}
	if err != nil {
		klog.ErrorS(err, "packet-undecodable")
	}
	return messages
}

// joinParts decodes the output of splitMessages.
func joinParts(data []byte) ([]Message, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxAssembledBytes))
	if err != nil {
		return nil, err
	}
	var messages []Message
	err = decode(encoded, &messages)
	return messages, err
}
