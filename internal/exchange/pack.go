package exchange

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// ErrPack is the class of errors for records that cannot be read.
var ErrPack = errs.Class("packed records")

// The first byte of packed records names their form.
const (
	formPlain byte = iota
	formFlate
)

const (
	// compressFrom is the length from which records are compressed.
	compressFrom = 256
	// savedWeight is the weight of the newest length in the expected saving.
	savedWeight = 0.25
	// unpackLimit bounds what packed records may unpack to.
	unpackLimit = 16 << 20
)

// packer encodes and reads records. Its zero value works; it keeps its buffers
// between uses.
type packer struct {
	w *flate.Writer
	r io.ReadCloser
	// saved is the share of the last compressed lengths that compression
	// saved, from 0 to 1.
	saved float64
}

// ratio returns the share of a length that is expected to remain after
// compression.
func (p *packer) ratio() float64 {
	return 1 - p.saved
}

// pack encodes records.
func (p *packer) pack(records []mustardramp.Record) ([]byte, error) {
	plain, err := cbor.Marshal(records)
	if err != nil {
		return nil, ErrPack.Wrap(err)
	}
	if len(plain) < compressFrom {
		return append([]byte{formPlain}, plain...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formFlate)
	if err := p.compress(&out, plain); err != nil {
		return nil, ErrPack.Wrap(err)
	}
	saved := max(0, 1-float64(out.Len())/float64(len(plain)))
	p.saved += (saved - p.saved) * savedWeight
	return out.Bytes(), nil
}

func (p *packer) compress(out io.Writer, plain []byte) error {
	if p.w == nil {
		w, err := flate.NewWriter(out, flate.BestSpeed)
		if err != nil {
			return err
		}
		p.w = w
	}
	p.w.Reset(out)
	if _, err := p.w.Write(plain); err != nil {
		return err
	}
	return p.w.Close()
}

// expand reads what compress wrote, up to a limit.
func (p *packer) expand(packed []byte) ([]byte, error) {
	in := bytes.NewReader(packed)
	if p.r == nil {
		p.r = flate.NewReader(in)
	} else if err := p.r.(flate.Resetter).Reset(in, nil); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(p.r, unpackLimit+1))
	if err == nil && len(plain) > unpackLimit {
		return nil, ErrPack.New("more than %d bytes", unpackLimit)
	}
	return plain, err
}

// unpack reads what pack wrote.
func (p *packer) unpack(packed []byte) ([]mustardramp.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	plain := packed[1:]
	switch packed[0] {
	case formPlain:
	case formFlate:
		var err error
		plain, err = p.expand(plain)
		if err != nil {
			return nil, ErrPack.Wrap(err)
		}
	default:
		return nil, ErrPack.New("unknown form %d", packed[0])
	}
	var records []mustardramp.Record
	if err := cbor.Unmarshal(plain, &records); err != nil {
		return nil, ErrPack.Wrap(err)
	}
	return records, nil
}
