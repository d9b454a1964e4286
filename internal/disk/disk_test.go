package disk

import (
	"errors"
	"io/fs"
	"path"
	"slices"
	"testing"
)

func writeFile(t *testing.T, d Disk, name, content string, sync bool) {
	t.Helper()
	f, err := d.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(content)); err != nil {
		t.Fatal(err)
	}
	if sync {
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestFakeBehavesLikeSystemDisk guards against a fake that behaves differently from the file
// system of the machine while nothing crashes.
func TestFakeBehavesLikeSystemDisk(t *testing.T) {
	for name, d := range map[string]Disk{"system": System{}, "fake": &Fake{}} {
		t.Run(name, func(t *testing.T) {
			directory := path.Join(t.TempDir(), "one", "two")
			must(t, d.MkdirAll(directory))
			writeFile(t, d, path.Join(directory, "b"), "first", true)
			writeFile(t, d, path.Join(directory, "b"), "second", true)
			writeFile(t, d, path.Join(directory, "a"), "third", true)
			writeFile(t, d, path.Join(directory, "gone"), "", true)
			must(t, d.Rename(path.Join(directory, "a"), path.Join(directory, "c")))
			must(t, d.Remove(path.Join(directory, "gone")))
			must(t, d.SyncDirectory(directory))
			names, err := d.List(directory)
			must(t, err)
			if want := []string{"b", "c"}; !slices.Equal(names, want) {
				t.Errorf("got %v, want %v", names, want)
			}
			got, err := d.Read(path.Join(directory, "b"))
			must(t, err)
			if string(got) != "second" {
				t.Errorf("got %q, want %q", got, "second")
			}
			if _, err := d.Read(path.Join(directory, "a")); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("got %v, want a missing file", err)
			}
			lock, err := d.Lock(path.Join(directory, "lock"))
			must(t, err)
			if _, err := d.Lock(path.Join(directory, "lock")); !ErrLocked.Has(err) {
				t.Errorf("got %v, want a locked directory", err)
			}
			must(t, lock.Close())
			relocked, err := d.Lock(path.Join(directory, "lock"))
			must(t, err)
			must(t, relocked.Close())
		})
	}
}

func TestFakeCrashLosesUnsynced(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(t *testing.T, d *Fake)
		want   map[string]string
	}{
		"nothing synced": {
			before: func(t *testing.T, d *Fake) { writeFile(t, d, "f/a", "x", false) },
			want:   map[string]string{},
		},
		"only the file synced": {
			before: func(t *testing.T, d *Fake) { writeFile(t, d, "f/a", "x", true) },
			want:   map[string]string{},
		},
		"only the name synced": {
			before: func(t *testing.T, d *Fake) { writeFile(t, d, "f/a", "x", false); must(t, d.SyncDirectory("f")) },
			want:   map[string]string{"a": ""},
		},
		"both synced": {
			before: func(t *testing.T, d *Fake) { writeFile(t, d, "f/a", "x", true); must(t, d.SyncDirectory("f")) },
			want:   map[string]string{"a": "x"},
		},
		"rename not synced": {
			before: func(t *testing.T, d *Fake) {
				writeFile(t, d, "f/a", "x", true)
				must(t, d.SyncDirectory("f"))
				must(t, d.Rename("f/a", "f/b"))
			},
			want: map[string]string{"a": "x"},
		},
		"removal not synced": {
			before: func(t *testing.T, d *Fake) {
				writeFile(t, d, "f/a", "x", true)
				must(t, d.SyncDirectory("f"))
				must(t, d.Remove("f/a"))
			},
			want: map[string]string{"a": "x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Fake{}
			tc.before(t, d)
			d.Crash(nil)
			names, err := d.List("f")
			must(t, err)
			if len(names) != len(tc.want) {
				t.Errorf("got %v, want %v", names, tc.want)
			}
			for name, want := range tc.want {
				got, err := d.Read("f/" + name)
				must(t, err)
				if string(got) != want {
					t.Errorf("%s: got %q, want %q", name, got, want)
				}
			}
		})
	}
}

// TestFakeSyncAfterFailedSync checks that a sync after a failed one succeeds
// although the bytes written before the failure are lost.
func TestFakeSyncAfterFailedSync(t *testing.T) {
	d := &Fake{}
	f, err := d.Create("f/a")
	must(t, err)
	must(t, d.SyncDirectory("f"))
	_, err = f.Write([]byte("x"))
	must(t, err)
	d.Fail = func(Operation, string) error { return ErrFake.New("injected failure") }
	if err := f.Sync(); err == nil {
		t.Fatal("Sync: got no error, want one")
	}
	d.Fail = nil
	must(t, f.Sync())
	d.Crash(nil)
	got, err := d.Read("f/a")
	must(t, err)
	if len(got) > 0 {
		t.Errorf("got %q, want nothing", got)
	}
	if _, err := f.Write([]byte("y")); !ErrFake.Has(err) {
		t.Errorf("Write after a crash: got %v, want an error", err)
	}
}
