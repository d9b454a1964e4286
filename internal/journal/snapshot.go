package journal

import (
	"errors"
	"io/fs"
	"path"

	"github.com/fxamacker/cbor/v2"
)

// compact writes the retained records to a new segment before it writes the
// snapshot. After a crash between the two, recovery replays the older segments and
// the retained records after them.
func (j *Journal) compact(snapshot []byte, retained [][]byte) error {
	payload, err := cbor.Marshal(retained)
	if err != nil {
		return err
	}
	first := j.next
	if err := j.rotate(payload); err != nil {
		return err
	}
	// The leading byte keeps the payload of an empty snapshot from being empty,
	// which parseFrame would reject.
	content := appendFrame(fileHeader(formatVersion), first, append([]byte{formatVersion}, snapshot...))
	file, err := j.writeAtomic(snapshotName, content)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return j.prune(first)
}

// prune removes the segments that hold only frames before a sequence.
func (j *Journal) prune(first uint64) error {
	for len(j.segments) > 1 && j.segments[1] <= first {
		name := path.Join(j.directory, segmentName(j.segments[0]))
		if err := j.disk.Remove(name); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// readSnapshot returns the snapshot and the sequence of the first frame to replay
// over it. Without a snapshot, that is the first frame of all.
func (j *Journal) readSnapshot() (snapshot []byte, first uint64, err error) {
	file := path.Join(j.directory, snapshotName)
	data, err := j.disk.Read(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 1, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := checkHeader(file, data); err != nil {
		return nil, 0, err
	}
	f, ok := parseFrame(data[headerSize:])
	if !ok || headerSize+f.size != len(data) {
		return nil, 0, &DamageError{File: file, Offset: int64(headerSize), Reason: "snapshot checksum mismatch"}
	}
	return f.payload[1:], f.sequence, nil
}
