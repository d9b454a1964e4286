package journal

import (
	"errors"
	"io/fs"
	"path"
	"strings"
)

// segment is a segment as read from the disk.
type segment struct {
	first  uint64
	frames []frame
}

// recover reads the directory and opens the last segment for more frames.
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
	if err := j.checkContinuity(segments, first, snapshot != nil); err != nil {
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

// findSegments lists the segments that start at or after a sequence. It removes
// older ones, which the snapshot replaces, and temporary files.
func (j *Journal) findSegments(start uint64) error {
	names, err := j.disk.List(j.directory)
	if err != nil {
		return err
	}
	for _, name := range names {
		first, isSegment := parseSegmentName(name)
		if strings.HasSuffix(name, tempSuffix) || isSegment && first < start {
			if err := j.disk.Remove(path.Join(j.directory, name)); err != nil {
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
		file := path.Join(j.directory, segmentName(first))
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

// checkContinuity returns an error if a segment is missing. With a snapshot, there
// must be a segment that starts at the first frame to replay, because Compact
// writes that segment before the snapshot.
func (j *Journal) checkContinuity(segments []segment, first uint64, hasSnapshot bool) error {
	if len(segments) == 0 && !hasSnapshot {
		return nil
	}
	expected := first
	for _, s := range segments {
		if s.first != expected {
			return j.missingSegment(expected)
		}
		expected += uint64(len(s.frames))
	}
	if hasSnapshot && expected == first {
		return j.missingSegment(expected)
	}
	return nil
}

func (j *Journal) missingSegment(first uint64) error {
	file := path.Join(j.directory, segmentName(first))
	reason := "the frames from here on are missing"
	return errors.Join(&DamageError{File: file, Reason: reason}, fs.ErrNotExist)
}

// replay decodes the records of all frames.
func replay(segments []segment) ([][]byte, error) {
	var records [][]byte
	for _, s := range segments {
		for _, f := range s.frames {
			var batch [][]byte
			if err := decoder.Unmarshal(f.payload, &batch); err != nil {
				return nil, ErrFormat.New("decode the records of frame %d: %v", f.sequence, err)
			}
			records = append(records, batch...)
		}
	}
	return records, nil
}

// reopen rewrites the last segment without its torn tail. Bytes that an earlier
// process wrote may have been read from the page cache although their sync failed;
// after the rewrite and its sync they are on the disk.
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
	file, err := j.writeAtomic(segmentName(last.first), content)
	if err != nil {
		return err
	}
	j.file = file
	j.size = len(content)
	j.next = last.first + uint64(len(last.frames))
	return nil
}
