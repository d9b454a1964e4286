package exchange

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// ErrPack is the class of errors for records that cannot be encoded or decoded,
// and for requests that break the protocol.
var ErrPack = errs.Class("packed records")

// The first byte of packed records names their encoding.
const (
	encodingPlain byte = iota
	encodingFlate
)

const (
	// minCompressBytes is the encoded length from which records are compressed.
	minCompressBytes = 256
	// savingWeight is the weight of the latest compression in the expected
	// saving.
	savingWeight = 0.25
	// maxUnpackedBytes bounds the decompressed length of packed records.
	maxUnpackedBytes = 16 << 20
)

// packer encodes and decodes records. Its zero value is ready to use. It keeps its
// buffers between uses.
type packer struct {
	writer *flate.Writer
	reader io.ReadCloser
	// savedShare is a moving average of the share of the length that compression
	// saved, from 0 to 1.
	savedShare float64
	// undecodableCount counts the records that were left out.
	undecodableCount int
}

// expectedRatio returns the share of a length that is expected to remain after
// compression.
func (p *packer) expectedRatio() float64 {
	return 1 - p.savedShare
}

// pack encodes records.
func (p *packer) pack(records []mustardramp.Record) ([]byte, error) {
	plain, err := cbor.Marshal(records)
	if err != nil {
		return nil, ErrPack.Wrap(err)
	}
	if len(plain) < minCompressBytes {
		return append([]byte{encodingPlain}, plain...), nil
	}
	var out bytes.Buffer
	out.WriteByte(encodingFlate)
	if err := p.compress(&out, plain); err != nil {
		return nil, ErrPack.Wrap(err)
	}
	saved := max(0, 1-float64(out.Len())/float64(len(plain)))
	p.savedShare += (saved - p.savedShare) * savingWeight
	return out.Bytes(), nil
}

func (p *packer) compress(out io.Writer, plain []byte) error {
	if p.writer == nil {
		w, err := flate.NewWriter(out, flate.BestSpeed)
		if err != nil {
			return err
		}
		p.writer = w
	}
	p.writer.Reset(out)
	if _, err := p.writer.Write(plain); err != nil {
		return err
	}
	return p.writer.Close()
}

// decompress decodes the output of compress. It fails above maxUnpackedBytes.
func (p *packer) decompress(packed []byte) ([]byte, error) {
	in := bytes.NewReader(packed)
	if p.reader == nil {
		p.reader = flate.NewReader(in)
	} else if err := p.reader.(flate.Resetter).Reset(in, nil); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(p.reader, maxUnpackedBytes+1))
	if err == nil && len(plain) > maxUnpackedBytes {
		return nil, ErrPack.New("more than %d bytes", maxUnpackedBytes)
	}
	return plain, err
}

// unpack decodes the output of pack. It leaves out records that cannot be decoded, so
// that one of them does not keep the others from this host, and counts them.
func (p *packer) unpack(packed []byte) ([]mustardramp.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	plain := packed[1:]
	switch packed[0] {
	case encodingPlain:
	case encodingFlate:
		var err error
		plain, err = p.decompress(plain)
		if err != nil {
			return nil, ErrPack.Wrap(err)
		}
	default:
		return nil, ErrPack.New("unknown form %d", packed[0])
	}
	var encoded []cbor.RawMessage
	if err := cbor.Unmarshal(plain, &encoded); err != nil {
		return nil, ErrPack.Wrap(err)
	}
	records := make([]mustardramp.Record, 0, len(encoded))
	for _, e := range encoded {
		var r mustardramp.Record
		if err := cbor.Unmarshal(e, &r); err != nil || r.Key == "" {
			p.undecodableCount++
			continue
		}
		records = append(records, r)
	}
	return records, nil
}
