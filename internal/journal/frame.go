package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A file starts with a header: magic, format version, checksum. Frames follow:
// length of the payload, checksum, sequence, payload. Numbers are little
// endian; checksums are CRC-32C over all other bytes of the header or frame.
const (
	magic         = "mrampjnl"
	formatVersion = 1

	headerSize    = len(magic) + 8
	frameHeadSize = 16
	// maxPayload bounds the payload of one frame, in bytes.
	maxPayload = 1 << 30
	// maxRecords bounds the records of one frame.
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

// fileHeader returns the bytes with which each file starts.
func fileHeader(version uint32) []byte {
	header := append([]byte{}, magic...)
	header = binary.LittleEndian.AppendUint32(header, version)
	sum := crc32.Checksum(header, castagnoli)
	return binary.LittleEndian.AppendUint32(header, sum)
}

// appendFrame appends the frame of a payload.
func appendFrame(buffer []byte, sequence uint64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, sequence)
	buffer = append(buffer, payload...)
	frame := buffer[start:]
	binary.LittleEndian.PutUint32(frame[4:], frameSum(frame))
	return buffer
}

func frameSum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[:4], castagnoli)
	return crc32.Update(sum, castagnoli, frame[8:])
}

type frame struct {
	sequence uint64
	payload  []byte
	size     int
}

// parseFrame reads the frame at the start of data, or reports false.
func parseFrame(data []byte) (frame, bool) {
	if len(data) < frameHeadSize {
		return frame{}, false
	}
	length := int64(binary.LittleEndian.Uint32(data))
	if length == 0 || length > maxPayload || length > int64(len(data)-frameHeadSize) {
		return frame{}, false
	}
	size := frameHeadSize + int(length)
	whole := data[:size]
	if binary.LittleEndian.Uint32(whole[4:]) != frameSum(whole) {
		return frame{}, false
	}
	sequence := binary.LittleEndian.Uint64(whole[8:])
	return frame{sequence: sequence, payload: whole[frameHeadSize:], size: size}, true
}

// hasFrameAfter reports whether a whole frame of a later sequence starts
// anywhere in data. A frame is written only after the one before it was
// synced, so a later frame proves that what precedes it was once whole.
func hasFrameAfter(data []byte, sequence uint64) bool {
	for start := range data {
		f, ok := parseFrame(data[start:])
		if ok && f.sequence > sequence {
			return true
		}
	}
	return false
}
