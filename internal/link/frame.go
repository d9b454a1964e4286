package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/mustardramp/mustardramp"
)

// codec frames JSON-RPC objects with a varint length prefix. It rejects an
// object larger than limit before writing it or allocating memory for it.
type codec struct {
	limit mustardramp.Bytes
}

// WriteObject encodes obj and writes it as one frame.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if mustardramp.Bytes(len(data)) > c.limit {
		return ErrTooLarge.New("%d bytes, limit %d", len(data), c.limit)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject reads one frame and decodes it into v.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > uint64(c.limit) {
		return ErrTooLarge.New("%d bytes, limit %d", size, c.limit)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
