package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"
)

const (
	segmentPrefix = "segment-"
	snapshotName  = "snapshot"
	tempSuffix    = ".new"
	lockName      = "lock"
)

// segmentName returns the file name of the segment that starts at a sequence.
func segmentName(first uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, first)
}

// parseSegmentName returns the sequence of the first frame of a segment. It reports
// false for the name of another file.
func parseSegmentName(name string) (first uint64, ok bool) {
	if !strings.HasPrefix(name, segmentPrefix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &first); err != nil {
		return 0, false
	}
	return first, segmentName(first) == name
}

// checkHeader verifies the header of a file.
func checkHeader(file string, data []byte) error {
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		return &DamageError{File: file, Offset: 0, Reason: "no journal header"}
	}
	version := binary.LittleEndian.Uint32(data[len(magic):])
	sum := binary.LittleEndian.Uint32(data[len(magic)+4:])
	if sum != crc32.Checksum(data[:len(magic)+4], castagnoli) {
		return &DamageError{File: file, Offset: 0, Reason: "header checksum mismatch"}
	}
	if version != formatVersion {
		return ErrFormat.New("%s has format version %d, this program reads %d: start the program that wrote it", file, version, formatVersion)
	}
	return nil
}

// readSegment returns the frames of a segment. Only the last segment may end in a
// torn frame, which is discarded.
func readSegment(file string, data []byte, first uint64, isLast bool) ([]frame, error) {
	if err := checkHeader(file, data); err != nil {
		return nil, err
	}
	var frames []frame
	offset := headerSize
	for offset < len(data) {
		want := first + uint64(len(frames))
		f, ok := parseFrame(data[offset:])
		if !ok && isLast && !hasFrameAfter(data[offset:], want) {
			return frames, nil
		}
		if !ok {
			return nil, &DamageError{File: file, Offset: int64(offset), Reason: "frame checksum mismatch"}
		}
		if f.sequence != want {
			reason := fmt.Sprintf("found frame %d, want frame %d", f.sequence, want)
			return nil, &DamageError{File: file, Offset: int64(offset), Reason: reason}
		}
		frames = append(frames, f)
		offset += f.size
	}
	return frames, nil
}
