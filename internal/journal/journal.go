// Package journal keeps records and one snapshot in a folder, so that what was
// acknowledged outlives a crash.
//
// Records are written in batches; a batch is one frame and is synced before it
// is acknowledged, and before the next is written. A torn last frame was never
// acknowledged and is cut. Any other damage is refused with file and offset.
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

// ErrFormat is the class of errors for a folder of another format version.
var ErrFormat = errs.Class("journal format")

// ErrFailed is the class of errors for a journal that has failed once. It
// stays failed: what the disk holds is known again only after a restart.
var ErrFailed = errs.Class("journal failed")

// DefaultSegmentSize is the size in bytes from which a segment is followed by
// the next.
const DefaultSegmentSize = 4 << 20

// DamageError tells where a file is damaged.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Options configure a journal. The zero value works.
type Options struct {
	// SegmentSize replaces DefaultSegmentSize when it is above 0.
	SegmentSize int
}

// Recovered is what a folder held.
type Recovered struct {
	// Snapshot is nil when none was taken.
	Snapshot []byte
	// Records are those to be replayed over the snapshot, in order. Records
	// that Compact retained may stand twice.
	Records [][]byte
}

// Journal is the open folder. Its methods are called by one goroutine.
type Journal struct {
	disk    disk.Disk
	folder  string
	options Options
	lock    io.Closer
	file    disk.File
	// size is that of the open segment in bytes.
	size int
	// next is the sequence of the next frame, from 1.
	next uint64
	// segments holds the first sequence of each segment, in order.
	segments []uint64
	// failed is set for good by the first error of the disk.
	failed error
}

// Open takes the folder for this process and reads what it holds.
func Open(d disk.Disk, folder string, options Options) (*Journal, Recovered, error) {
	if options.SegmentSize <= 0 {
		options.SegmentSize = DefaultSegmentSize
	}
	if err := d.MakeFolder(folder); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := d.Lock(path.Join(folder, lockName))
	if err != nil {
		return nil, Recovered{}, err
	}
	j := &Journal{disk: d, folder: folder, options: options, lock: lock, next: 1}
	recovered, err := j.recover()
	if err != nil {
		return nil, Recovered{}, errors.Join(err, j.Close())
	}
	return j, recovered, nil
}

// Append writes records as one batch and returns when they are synced.
func (j *Journal) Append(records ...[]byte) error {
	if j.failed != nil {
		return j.failed
	}
	if len(records) == 0 {
		return nil
	}
	return j.keep(j.append(records))
}

// Compact replaces all records by a snapshot and the retained records.
func (j *Journal) Compact(snapshot []byte, retained ...[]byte) error {
	if j.failed != nil {
		return j.failed
	}
	return j.keep(j.compact(snapshot, retained))
}

// Close lets the folder go.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	if j.failed == nil {
		j.failed = ErrFailed.New("the journal of %s is closed", j.folder)
	}
	return errors.Join(err, j.lock.Close())
}

// keep remembers the first error. A failed sync leaves pages that the system
// takes for clean, so that trying again would prove nothing.
func (j *Journal) keep(err error) error {
	if err != nil {
		j.failed = ErrFailed.Wrap(err)
		return j.failed
	}
	return nil
}

func (j *Journal) append(records [][]byte) error {
	payload, err := cbor.Marshal(records)
	if err != nil {
		return err
	}
	if len(payload) > maxPayload {
		return ErrFormat.New("a batch of %d bytes exceeds %d", len(payload), maxPayload)
	}
	if j.size >= j.options.SegmentSize {
		return j.rotate(payload)
	}
	return j.write(appendFrame(nil, j.next, payload))
}

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

// rotate starts a segment with one frame.
func (j *Journal) rotate(payload []byte) error {
	first := j.next
	content := appendFrame(fileHeader(formatVersion), first, payload)
	file, err := j.place(segmentName(first), content)
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

// place puts a file in the folder at once and durably: write under another
// name, sync the file, rename, sync the folder. The file stays open.
func (j *Journal) place(name string, content []byte) (disk.File, error) {
	target := path.Join(j.folder, name)
	file, err := j.disk.Create(target + newSuffix)
	if err != nil {
		return nil, err
	}
	if err := j.settle(file, target, content); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func (j *Journal) settle(file disk.File, target string, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := j.disk.Rename(target+newSuffix, target); err != nil {
		return err
	}
	return j.disk.SyncFolder(j.folder)
}
