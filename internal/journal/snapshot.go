package journal

import (
	"errors"
	"io/fs"
	"path"

	"github.com/fxamacker/cbor/v2"
)

// compact writes the retained records to a new segment first: until the
// snapshot is in place the older segments count, and the retained records are
// replayed over them once more.
func (j *Journal) compact(snapshot []byte, retained [][]byte) error {
	payload, err := cbor.Marshal(retained)
	if err != nil {
		return err
	}
	first := j.next
	if err := j.rotate(payload); err != nil {
		return err
	}
	content := appendFrame(fileHeader(formatVersion), first, append([]byte{formatVersion}, snapshot...))
	file, err := j.place(snapshotName, content)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return j.prune(first)
}

// prune removes the segments that end before a sequence.
func (j *Journal) prune(first uint64) error {
	for len(j.segments) > 1 && j.segments[1] <= first {
		name := path.Join(j.folder, segmentName(j.segments[0]))
		if err := j.disk.Remove(name); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	return nil
}

// readSnapshot returns the snapshot and the sequence of the first frame to be
// replayed over it.
func (j *Journal) readSnapshot() (snapshot []byte, first uint64, err error) {
	file := path.Join(j.folder, snapshotName)
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
		return nil, 0, &DamageError{File: file, Offset: int64(headerSize), Reason: "snapshot checksum differs"}
	}
	return f.payload[1:], f.sequence, nil
}
