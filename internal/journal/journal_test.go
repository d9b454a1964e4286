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

const testDirectory = "data"

// smallSegments limits segments to a few batches.
var smallSegments = Options{SegmentSize: 200}

func mustOpen(t *testing.T, d disk.Disk) (*Journal, Recovered) {
	t.Helper()
	j, recovered, err := Open(d, testDirectory, smallSegments)
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	return j, recovered
}

// workload writes numbered records. It counts those that were acknowledged and
// those whose batch was started.
type workload struct {
	acknowledged int
	started      int
}

func record(i int) []byte {
	return fmt.Appendf(nil, "record %04d", i)
}

// write appends batches of records and compacts after every six, until the disk
// fails. A snapshot holds the number of the records that it replaces.
func (w *workload) write(j *Journal, steps int) {
	for step := range steps {
		if step%7 == 6 {
			replaced := max(0, w.acknowledged-2)
			retained := records(replaced, w.acknowledged)
			if j.Compact(fmt.Appendf(nil, "%d", replaced), retained...) != nil {
				return
			}
			continue
		}
		size := 1 + step%3
		w.started = w.acknowledged + size
		if j.Append(records(w.acknowledged, w.started)...) != nil {
			return
		}
		w.acknowledged = w.started
	}
}

func records(from, to int) [][]byte {
	var all [][]byte
	for i := from; i < to; i++ {
		all = append(all, record(i))
	}
	return all
}

// countRecords returns the number of recovered records. It fails the test
// if a record before another one is missing.
func countRecords(t *testing.T, r Recovered) int {
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

// failAfter lets a number of operations succeed and fails all later ones.
func failAfter(remaining int) func(disk.Operation, string) error {
	return func(disk.Operation, string) error {
		remaining--
		if remaining < 0 {
			return errors.New("injected disk failure")
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

// crashAt crashes a workload at an operation and checks that no acknowledged record
// is lost. It reports whether the whole workload was written before the crash.
func crashAt(t *testing.T, operation int, random *rand.Rand) bool {
	t.Helper()
	d := &disk.Fake{}
	w := &workload{}
	d.Fail = failAfter(operation)
	if j, _, err := Open(d, testDirectory, smallSegments); err == nil {
		w.write(j, 24)
	}
	finished := d.Fail(0, "") == nil
	d.Fail = nil
	for range 2 {
		d.Crash(random)
		_, recovered := mustOpen(t, d)
		got := countRecords(t, recovered)
		if got < w.acknowledged || got > w.started {
			t.Fatalf("operation %d: got %d records, want %d to %d", operation, got, w.acknowledged, w.started)
		}
		w.acknowledged = got
	}
	return finished
}

func TestWriteAfterCrash(t *testing.T) {
	d := &disk.Fake{}
	random := rand.New(rand.NewPCG(3, 4))
	w := &workload{}
	for range 40 {
		j, recovered := mustOpen(t, d)
		got := countRecords(t, recovered)
		if got < w.acknowledged || got > w.started {
			t.Fatalf("got %d records, want %d to %d", got, w.acknowledged, w.started)
		}
		w.acknowledged, w.started = got, got
		d.Fail = failAfter(random.IntN(60))
		w.write(j, 24)
		d.Fail = nil
		d.Crash(random)
	}
	if w.acknowledged == 0 {
		t.Fatal("got no records, want some")
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	d := &disk.Fake{}
	j, _ := mustOpen(t, d)
	d.Fail = func(operation disk.Operation, _ string) error {
		if operation == disk.OperationSync {
			return errors.New("injected sync failure")
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

// TestReopenAfterFailedSync guards against records that a restarted process reads
// from the page cache after a failed sync and that a later crash loses.
func TestReopenAfterFailedSync(t *testing.T) {
	d := &disk.Fake{}
	j, _ := mustOpen(t, d)
	d.Fail = func(operation disk.Operation, _ string) error {
		if operation == disk.OperationSync {
			return errors.New("injected sync failure")
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
	_, before := mustOpen(t, d)
	d.Crash(nil)
	_, after := mustOpen(t, d)
	if got, want := countRecords(t, after), countRecords(t, before); got != want {
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
		"payload of a frame":   {file: segmentName(1), offset: headerSize + frameHeaderSize + 3, want: int64(headerSize)},
		"sequence of a frame":  {file: segmentName(1), offset: headerSize + 9, want: int64(headerSize)},
		"payload of snapshot":  {file: snapshotName, offset: headerSize + frameHeaderSize + 1, want: int64(headerSize)},
		"checksum of snapshot": {file: snapshotName, offset: headerSize + 4, want: int64(headerSize)},
	} {
		t.Run(name, func(t *testing.T) {
			d := &disk.Fake{}
			j, _ := mustOpen(t, d)
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
			file := path.Join(testDirectory, tc.file)
			d.Damage(file, tc.offset)
			_, _, err := Open(d, testDirectory, smallSegments)
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
			j, _ := mustOpen(t, d)
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
			if err := d.Remove(path.Join(testDirectory, tc.missing(names))); err != nil {
				t.Fatal(err)
			}
			if _, _, err := Open(d, testDirectory, smallSegments); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("Open: got %v, want a missing segment", err)
			}
		})
	}
}

func TestOtherFormatIsRefused(t *testing.T) {
	d := &disk.Fake{}
	j, _ := mustOpen(t, d)
	file, err := j.writeAtomic(segmentName(1), fileHeader(formatVersion+1))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	d.Crash(nil)
	if _, _, err := Open(d, testDirectory, smallSegments); !ErrFormat.Has(err) {
		t.Errorf("Open: got %v, want a format error", err)
	}
}

func TestSystemDisk(t *testing.T) {
	directory := path.Join(t.TempDir(), "one", "two")
	j, _, err := Open(disk.System{}, directory, smallSegments)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(disk.System{}, directory, smallSegments); !disk.ErrLocked.Has(err) {
		t.Errorf("second Open: got %v, want a locked directory", err)
	}
	w := &workload{}
	w.write(j, 30)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, recovered, err := Open(disk.System{}, directory, smallSegments)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if got, want := countRecords(t, recovered), w.acknowledged; got != want {
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
		var rewritten []byte
		rewritten = append(rewritten, fileHeader(formatVersion)...)
		for i, got := range frames {
			if want := uint64(i + 1); got.sequence != want {
				t.Fatalf("got sequence %d, want %d", got.sequence, want)
			}
			rewritten = appendFrame(rewritten, got.sequence, got.payload)
		}
		if !slices.Equal(rewritten, data[:len(rewritten)]) {
			t.Fatal("the rewritten frames differ from the input")
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
