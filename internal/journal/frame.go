package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A file starts with a header of magic, format version and checksum. Frames follow,
// each with the length of the payload, checksum, sequence and payload. Numbers are
// little-endian. Checksums are CRC-32C over all other bytes of the header or frame.
const (
	magic         = "mrampjnl"
	formatVersion = 1

	headerSize      = len(magic) + 8
	frameHeaderSize = 16
	// maxPayload bounds the payload of one frame, in bytes.
	maxPayload = 1 << 30
	// maxRecords bounds the number of records in one frame.
	maxRecords = 1 << 24
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decoder    = newDecoder()
)

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRecords}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// fileHeader returns the header of a file.
func fileHeader(version uint32) []byte {
	header := append([]byte{}, magic...)
	header = binary.LittleEndian.AppendUint32(header, version)
	sum := crc32.Checksum(header, castagnoli)
	return binary.LittleEndian.AppendUint32(header, sum)
}

// appendFrame appends a frame with a payload to a buffer.
func appendFrame(buffer []byte, sequence uint64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, sequence)
	buffer = append(buffer, payload...)
	frame := buffer[start:]
	binary.LittleEndian.PutUint32(frame[4:], frameChecksum(frame))
	return buffer
}

// frameChecksum returns the checksum over all bytes of a frame but the checksum.
func frameChecksum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[:4], castagnoli)
	return crc32.Update(sum, castagnoli, frame[8:])
}

// frame is a decoded frame; its size in bytes includes the header.
type frame struct {
	sequence uint64
	payload  []byte
	size     int
}

// parseFrame decodes the frame at the start of data. It reports false if there is
// no valid frame.
func parseFrame(data []byte) (frame, bool) {
	if len(data) < frameHeaderSize {
		return frame{}, false
	}
	length := int64(binary.LittleEndian.Uint32(data))
	if length == 0 || length > maxPayload || length > int64(len(data)-frameHeaderSize) {
		return frame{}, false
	}
	size := frameHeaderSize + int(length)
	raw := data[:size]
	if binary.LittleEndian.Uint32(raw[4:]) != frameChecksum(raw) {
		return frame{}, false
	}
	sequence := binary.LittleEndian.Uint64(raw[8:])
	return frame{sequence: sequence, payload: raw[frameHeaderSize:], size: size}, true
}

// hasFrameAfter reports whether a valid frame with a higher sequence starts
// anywhere in data. A frame is written only after the previous one was synced, so
// that a later frame proves that the bytes before it were valid once.
func hasFrameAfter(data []byte, sequence uint64) bool {
	for start := range data {
		f, ok := parseFrame(data[start:])
		if ok && f.sequence > sequence {
			return true
		}
	}
	return false
}
