package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"testing"

	"github.com/mustardramp/mustardramp/internal/disk"
)

const testFolder = "data"

// small makes segments that hold a few batches.
var small = Options{SegmentSize: 200}

func open(t *testing.T, d disk.Disk) (*Journal, Recovered) {
	t.Helper()
	j, recovered, err := Open(d, testFolder, small)
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	return j, recovered
}

// history is what a writer did: the records and where the last snapshot stood.
type history struct {
	acknowledged int
	started      int
}

func record(i int) []byte {
	return fmt.Appendf(nil, "record %04d", i)
}

// write appends batches of growing records and compacts now and then, until
// the disk fails. The snapshot names the number of records it stands for.
func (h *history) write(j *Journal, steps int) {
	for step := range steps {
		if step%7 == 6 {
			keep := max(0, h.acknowledged-2)
			retained := records(keep, h.acknowledged)
			if j.Compact(fmt.Appendf(nil, "%d", keep), retained...) != nil {
				return
			}
			continue
		}
		size := 1 + step%3
		h.started = h.acknowledged + size
		if j.Append(records(h.acknowledged, h.started)...) != nil {
			return
		}
		h.acknowledged = h.started
	}
}

func records(from, to int) [][]byte {
	var all [][]byte
	for i := from; i < to; i++ {
		all = append(all, record(i))
	}
	return all
}

// state rebuilds the number of records; each must follow or repeat those held.
func state(t *testing.T, r Recovered) int {
	t.Helper()
	next := 0
	if r.Snapshot != nil {
		fmt.Sscanf(string(r.Snapshot), "%d", &next)
	}
	for _, got := range r.Records {
		var i int
		fmt.Sscanf(string(got), "record %d", &i)
		if i > next {
			t.Fatalf("record %d follows %d", i, next)
		}
		next = i + 1
	}
	return next
}

// countdown fails the operation of a given number and all later ones.
func countdown(left int) func(disk.Operation, string) error {
	return func(disk.Operation, string) error {
		left--
		if left < 0 {
			return errors.New("disk failure on purpose")
		}
		return nil
	}
}

func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(8) {
		for operation := 0; ; operation++ {
			random := rand.New(rand.NewPCG(seed, uint64(operation)))
			if seed == 0 {
				random = nil
			}
			if crashAt(t, operation, random) {
				break
			}
		}
	}
}

// crashAt reports whether the whole history was written before the crash.
func crashAt(t *testing.T, operation int, random *rand.Rand) bool {
	t.Helper()
	d := &disk.Fake{}
	h := &history{}
	d.Fail = countdown(operation)
	if j, _, err := Open(d, testFolder, small); err == nil {
		h.write(j, 24)
	}
	finished := d.Fail(0, "") == nil
	d.Fail = nil
	for range 2 {
		d.Crash(random)
		_, recovered := open(t, d)
		got := state(t, recovered)
		if got < h.acknowledged || got > h.started {
			t.Fatalf("operation %d: got %d records, want %d to %d", operation, got, h.acknowledged, h.started)
		}
		h.acknowledged = got
	}
	return finished
}

func TestWritingGoesOnAfterACrash(t *testing.T) {
	d := &disk.Fake{}
	random := rand.New(rand.NewPCG(3, 4))
	h := &history{}
	for range 40 {
		j, recovered := open(t, d)
		got := state(t, recovered)
		if got < h.acknowledged || got > h.started {
			t.Fatalf("got %d records, want %d to %d", got, h.acknowledged, h.started)
		}
		h.acknowledged, h.started = got, got
		d.Fail = countdown(random.IntN(60))
		h.write(j, 24)
		d.Fail = nil
		d.Crash(random)
	}
	if h.acknowledged == 0 {
		t.Fatal("got no records, want some")
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	d := &disk.Fake{}
	j, _ := open(t, d)
	d.Fail = func(operation disk.Operation, _ string) error {
		if operation == disk.OperationSync {
			return errors.New("sync failure on purpose")
		}
		return nil
	}
	if err := j.Append(record(0)); !ErrFailed.Has(err) {
		t.Fatalf("Append: got %v, want a failed journal", err)
	}
	d.Fail = nil
	if err := j.Append(record(0)); !ErrFailed.Has(err) {
		t.Errorf("Append after a failed sync: got %v, want a failed journal", err)
	}
	if err := j.Compact(nil); !ErrFailed.Has(err) {
		t.Errorf("Compact after a failed sync: got %v, want a failed journal", err)
	}
}

// A process that restarts after a failed sync reads the bytes from memory; they
// must last from then on, or be gone.
func TestReopenSettlesAFailedSync(t *testing.T) {
	d := &disk.Fake{}
	j, _ := open(t, d)
	d.Fail = func(operation disk.Operation, _ string) error {
		if operation == disk.OperationSync {
			return errors.New("sync failure on purpose")
		}
		return nil
	}
	if err := j.Append(record(0)); err == nil {
		t.Fatal("Append: got no error, want one")
	}
	d.Fail = nil
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	_, before := open(t, d)
	d.Crash(nil)
	_, after := open(t, d)
	if got, want := state(t, after), state(t, before); got != want {
		t.Errorf("got %d records after the crash, want the %d read before it", got, want)
	}
}

func TestDamageIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		file   string
		offset int
		want   int64
	}{
		"magic":                {file: segmentName(1), offset: 3, want: 0},
		"length of a frame":    {file: segmentName(1), offset: headerSize + 1, want: int64(headerSize)},
		"payload of a frame":   {file: segmentName(1), offset: headerSize + frameHeadSize + 3, want: int64(headerSize)},
		"sequence of a frame":  {file: segmentName(1), offset: headerSize + 9, want: int64(headerSize)},
		"payload of snapshot":  {file: snapshotName, offset: headerSize + frameHeadSize + 1, want: int64(headerSize)},
		"checksum of snapshot": {file: snapshotName, offset: headerSize + 4, want: int64(headerSize)},
	} {
		t.Run(name, func(t *testing.T) {
			d := &disk.Fake{}
			j, _ := open(t, d)
			for i := range 3 {
				if err := j.Append(record(i)); err != nil {
					t.Fatal(err)
				}
			}
			if tc.file == snapshotName {
				if err := j.Compact([]byte("3")); err != nil {
					t.Fatal(err)
				}
			}
			d.Crash(nil)
			file := path.Join(testFolder, tc.file)
			d.Damage(file, tc.offset)
			_, _, err := Open(d, testFolder, small)
			var damage *DamageError
			if !errors.As(err, &damage) {
				t.Fatalf("Open: got %v, want a DamageError", err)
			}
			if damage.File != file || damage.Offset != tc.want {
				t.Errorf("got %s at %d, want %s at %d", damage.File, damage.Offset, file, tc.want)
			}
		})
	}
}

func TestMissingSegmentIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		compact bool
		missing func(names []string) string
	}{
		"first":          {missing: func(names []string) string { return names[0] }},
		"middle":         {missing: func(names []string) string { return names[1] }},
		"after snapshot": {compact: true, missing: func(names []string) string { return names[0] }},
	} {
		t.Run(name, func(t *testing.T) {
			d := &disk.Fake{}
			j, _ := open(t, d)
			for i := range 20 {
				if err := j.Append(record(i)); err != nil {
					t.Fatal(err)
				}
			}
			if tc.compact {
				if err := j.Compact([]byte("20")); err != nil {
					t.Fatal(err)
				}
			}
			var names []string
			for _, first := range j.segments {
				names = append(names, segmentName(first))
			}
			d.Crash(nil)
			if err := d.Remove(path.Join(testFolder, tc.missing(names))); err != nil {
				t.Fatal(err)
			}
			if _, _, err := Open(d, testFolder, small); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("Open: got %v, want a missing segment", err)
			}
		})
	}
}

func TestOtherFormatIsRefused(t *testing.T) {
	d := &disk.Fake{}
	j, _ := open(t, d)
	file, err := j.place(segmentName(1), fileHeader(formatVersion+1))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	d.Crash(nil)
	if _, _, err := Open(d, testFolder, small); !ErrFormat.Has(err) {
		t.Errorf("Open: got %v, want a format error", err)
	}
}

func TestSystemDisk(t *testing.T) {
	folder := path.Join(t.TempDir(), "one", "two")
	j, _, err := Open(disk.System{}, folder, small)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(disk.System{}, folder, small); !disk.ErrLocked.Has(err) {
		t.Errorf("second Open: got %v, want a locked folder", err)
	}
	h := &history{}
	h.write(j, 30)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, recovered, err := Open(disk.System{}, folder, small)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if got, want := state(t, recovered), h.acknowledged; got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

func FuzzReadSegment(f *testing.F) {
	whole := fileHeader(formatVersion)
	for i := range 3 {
		whole = appendFrame(whole, uint64(i+1), record(i))
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Add(fileHeader(formatVersion))
	f.Fuzz(func(t *testing.T, data []byte) {
		frames, err := readSegment("segment", data, 1, true)
		if err != nil {
			return
		}
		var again []byte
		again = append(again, fileHeader(formatVersion)...)
		for i, got := range frames {
			if want := uint64(i + 1); got.sequence != want {
				t.Fatalf("got sequence %d, want %d", got.sequence, want)
			}
			again = appendFrame(again, got.sequence, got.payload)
		}
		if !slices.Equal(again, data[:len(again)]) {
			t.Fatal("the frames written anew differ from what was read")
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			j, _, err := Open(disk.System{}, b.TempDir(), Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			batch := records(0, size)
			for b.Loop() {
				if err := j.Append(batch...); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
