package journal

import (
	"errors"
	"io/fs"
	"path"
	"strings"
)

// segment is a segment as it was found.
type segment struct {
	first  uint64
	frames []frame
}

// recover reads the folder and leaves the last segment open for more frames.
func (j *Journal) recover() (Recovered, error) {
	snapshot, first, err := j.readSnapshot()
	if err != nil {
		return Recovered{}, err
	}
	if err := j.findSegments(first); err != nil {
		return Recovered{}, err
	}
	segments, err := j.readSegments()
	if err != nil {
		return Recovered{}, err
	}
	if err := j.checkStart(segments, first, snapshot != nil); err != nil {
		return Recovered{}, err
	}
	records, err := replay(segments)
	if err != nil {
		return Recovered{}, err
	}
	if err := j.reopen(segments); err != nil {
		return Recovered{}, err
	}
	return Recovered{Snapshot: snapshot, Records: records}, nil
}

// findSegments lists the segments that count. It removes files that were never
// put in place and segments that the snapshot has replaced.
func (j *Journal) findSegments(start uint64) error {
	names, err := j.disk.List(j.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		first, isSegment := parseSegmentName(name)
		if strings.HasSuffix(name, newSuffix) || isSegment && first < start {
			if err := j.disk.Remove(path.Join(j.folder, name)); err != nil {
				return err
			}
			continue
		}
		if isSegment {
			j.segments = append(j.segments, first)
		}
	}
	return nil
}

func (j *Journal) readSegments() ([]segment, error) {
	var segments []segment
	for i, first := range j.segments {
		file := path.Join(j.folder, segmentName(first))
		data, err := j.disk.Read(file)
		if err != nil {
			return nil, err
		}
		frames, err := readSegment(file, data, first, i == len(j.segments)-1)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment{first: first, frames: frames})
	}
	return segments, nil
}

// checkStart refuses a folder in which a segment is missing. Compact starts a
// segment at the frame from which its snapshot is replayed.
func (j *Journal) checkStart(segments []segment, first uint64, hasSnapshot bool) error {
	if len(segments) == 0 && !hasSnapshot {
		return nil
	}
	due := first
	for _, s := range segments {
		if s.first != due {
			return j.missing(due)
		}
		due += uint64(len(s.frames))
	}
	if hasSnapshot && due == first {
		return j.missing(due)
	}
	return nil
}

func (j *Journal) missing(first uint64) error {
	file := path.Join(j.folder, segmentName(first))
	reason := "the frames from here on are missing"
	return errors.Join(&DamageError{File: file, Reason: reason}, fs.ErrNotExist)
}

// replay returns the records of all frames.
func replay(segments []segment) ([][]byte, error) {
	var records [][]byte
	for _, s := range segments {
		for _, f := range s.frames {
			var batch [][]byte
			if err := decoder.Unmarshal(f.payload, &batch); err != nil {
				return nil, ErrFormat.New("frame %d: %v", f.sequence, err)
			}
			records = append(records, batch...)
		}
	}
	return records, nil
}

// reopen writes the last segment anew without its torn tail. Bytes that an
// earlier process wrote may have been read from memory although their sync
// failed; a fresh file that is synced as a whole settles the question.
func (j *Journal) reopen(segments []segment) error {
	last := segment{first: 1}
	if len(segments) > 0 {
		last = segments[len(segments)-1]
	} else {
		j.segments = []uint64{last.first}
	}
	content := fileHeader(formatVersion)
	for _, f := range last.frames {
		content = appendFrame(content, f.sequence, f.payload)
	}
	file, err := j.place(segmentName(last.first), content)
	if err != nil {
		return err
	}
	j.file = file
	j.size = len(content)
	j.next = last.first + uint64(len(last.frames))
	return nil
}
