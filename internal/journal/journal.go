// Package journal stores records and one snapshot in a directory, so that
// acknowledged records survive a crash.
//
// Records are written in batches. A batch is one frame, which is synced before it
// is acknowledged and before the next frame is written. A torn last frame was
// never acknowledged and is discarded. Any other damage is an error that names the
// file and the offset.
package journal

import (
	"errors"
	"fmt"
	"io"
	"path"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp/internal/disk"
)

// ErrFormat is the class of errors for data that this version cannot read or
// write, such as a file of another format version.
var ErrFormat = errs.Class("journal format")

// ErrFailed is the class of errors of a journal after its first failure. The
// journal stays failed, because the content of the disk is known again only after
// a restart.
var ErrFailed = errs.Class("journal failed")

// DefaultSegmentSize is the size in bytes from which a new segment is started.
const DefaultSegmentSize = 4 << 20

// DamageError reports where a file is damaged.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Options configures a journal. Its zero value selects the defaults.
type Options struct {
	// SegmentSize, in bytes, replaces DefaultSegmentSize if it is above 0.
	SegmentSize int
}

// Recovered is the content of a directory when it was opened.
type Recovered struct {
	// Snapshot is nil if there is none.
	Snapshot []byte
	// Records lists the records to replay over the snapshot, in order. Records
	// that Compact retained may occur twice.
	Records [][]byte
}

// Journal is a directory that is open for writing. It is not safe for concurrent
// use.
type Journal struct {
	disk      disk.Disk
	directory string
	options   Options
	lock      io.Closer
	file      disk.File
	// size is the size of the open segment in bytes.
	size int
	// next is the sequence of the next frame; the first is 1.
	next uint64
	// segments holds the first sequence of each segment, in order.
	segments []uint64
	// failed is the first error of the disk. It is not reset.
	failed error
}

// Open locks a directory for this process and reads its content.
func Open(d disk.Disk, directory string, options Options) (*Journal, Recovered, error) {
	if options.SegmentSize <= 0 {
		options.SegmentSize = DefaultSegmentSize
	}
	if err := d.MkdirAll(directory); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := d.Lock(path.Join(directory, lockName))
	if err != nil {
		return nil, Recovered{}, err
	}
	j := &Journal{disk: d, directory: directory, options: options, lock: lock, next: 1}
	recovered, err := j.recover()
	if err != nil {
		return nil, Recovered{}, errors.Join(err, j.Close())
	}
	return j, recovered, nil
}

// Append writes records as one batch and returns once they are synced.
func (j *Journal) Append(records ...[]byte) error {
	if j.failed != nil {
		return j.failed
	}
	if len(records) == 0 {
		return nil
	}
	return j.recordFailure(j.append(records))
}

// Compact replaces all records with a snapshot and the retained records.
func (j *Journal) Compact(snapshot []byte, retained ...[]byte) error {
	if j.failed != nil {
		return j.failed
	}
	return j.recordFailure(j.compact(snapshot, retained))
}

// Close closes the open segment and releases the lock of the directory.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	if j.failed == nil {
		j.failed = ErrFailed.New("the journal of %s is closed", j.directory)
	}
	return errors.Join(err, j.lock.Close())
}

// recordFailure makes the first error final. After a failed sync the system marks
// the pages as clean, so that a later success would prove nothing.
func (j *Journal) recordFailure(err error) error {
	if err != nil {
		j.failed = ErrFailed.Wrap(err)
		return j.failed
	}
	return nil
}

// append writes records as one frame, to a new segment if the open one is full.
func (j *Journal) append(records [][]byte) error {
	payload, err := cbor.Marshal(records)
	if err != nil {
		return err
	}
	if len(payload) > maxPayload {
		return ErrFormat.New("batch of %d bytes exceeds the maximum of %d", len(payload), maxPayload)
	}
	if j.size >= j.options.SegmentSize {
		return j.rotate(payload)
	}
	return j.write(appendFrame(nil, j.next, payload))
}

// write appends a frame to the open segment and syncs it.
func (j *Journal) write(frame []byte) error {
	if _, err := j.file.Write(frame); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += len(frame)
	j.next++
	return nil
}

// rotate starts a new segment that holds one frame.
func (j *Journal) rotate(payload []byte) error {
	first := j.next
	content := appendFrame(fileHeader(formatVersion), first, payload)
	file, err := j.writeAtomic(segmentName(first), content)
	if err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return err
	}
	j.file = file
	j.size = len(content)
	j.next++
	j.segments = append(j.segments, first)
	return nil
}

// writeAtomic creates or replaces a file atomically and durably: it writes a
// temporary file, syncs it, renames it and syncs the directory. The file stays
// open.
func (j *Journal) writeAtomic(name string, content []byte) (disk.File, error) {
	target := path.Join(j.directory, name)
	file, err := j.disk.Create(target + tempSuffix)
	if err != nil {
		return nil, err
	}
	if err := j.commitFile(file, target, content); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// commitFile writes and syncs a temporary file and renames it to target.
func (j *Journal) commitFile(file disk.File, target string, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := j.disk.Rename(target+tempSuffix, target); err != nil {
		return err
	}
	return j.disk.SyncDirectory(j.directory)
}
