package disk

import (
	"errors"
	"io/fs"
	"path"
	"slices"
	"testing"
)

func write(t *testing.T, d Disk, name, content string, sync bool) {
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

func do(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// The fake does what the machine's disk does, as long as nothing crashes.
func TestDisksAgree(t *testing.T) {
	for name, d := range map[string]Disk{"system": System{}, "fake": &Fake{}} {
		t.Run(name, func(t *testing.T) {
			folder := path.Join(t.TempDir(), "one", "two")
			do(t, d.MakeFolder(folder))
			write(t, d, path.Join(folder, "b"), "first", true)
			write(t, d, path.Join(folder, "b"), "second", true)
			write(t, d, path.Join(folder, "a"), "third", true)
			write(t, d, path.Join(folder, "gone"), "", true)
			do(t, d.Rename(path.Join(folder, "a"), path.Join(folder, "c")))
			do(t, d.Remove(path.Join(folder, "gone")))
			do(t, d.SyncFolder(folder))
			names, err := d.List(folder)
			do(t, err)
			if want := []string{"b", "c"}; !slices.Equal(names, want) {
				t.Errorf("got %v, want %v", names, want)
			}
			got, err := d.Read(path.Join(folder, "b"))
			do(t, err)
			if string(got) != "second" {
				t.Errorf("got %q, want %q", got, "second")
			}
			if _, err := d.Read(path.Join(folder, "a")); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("got %v, want a missing file", err)
			}
			lock, err := d.Lock(path.Join(folder, "lock"))
			do(t, err)
			if _, err := d.Lock(path.Join(folder, "lock")); !ErrLocked.Has(err) {
				t.Errorf("got %v, want a locked folder", err)
			}
			do(t, lock.Close())
			again, err := d.Lock(path.Join(folder, "lock"))
			do(t, err)
			do(t, again.Close())
		})
	}
}

func TestFakeForgetsAtACrash(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(t *testing.T, d *Fake)
		want   map[string]string
	}{
		"nothing synced": {
			before: func(t *testing.T, d *Fake) { write(t, d, "f/a", "x", false) },
			want:   map[string]string{},
		},
		"file synced, not its name": {
			before: func(t *testing.T, d *Fake) { write(t, d, "f/a", "x", true) },
			want:   map[string]string{},
		},
		"name synced, not the file": {
			before: func(t *testing.T, d *Fake) { write(t, d, "f/a", "x", false); do(t, d.SyncFolder("f")) },
			want:   map[string]string{"a": ""},
		},
		"both synced": {
			before: func(t *testing.T, d *Fake) { write(t, d, "f/a", "x", true); do(t, d.SyncFolder("f")) },
			want:   map[string]string{"a": "x"},
		},
		"rename not synced": {
			before: func(t *testing.T, d *Fake) {
				write(t, d, "f/a", "x", true)
				do(t, d.SyncFolder("f"))
				do(t, d.Rename("f/a", "f/b"))
			},
			want: map[string]string{"a": "x"},
		},
		"removal not synced": {
			before: func(t *testing.T, d *Fake) {
				write(t, d, "f/a", "x", true)
				do(t, d.SyncFolder("f"))
				do(t, d.Remove("f/a"))
			},
			want: map[string]string{"a": "x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Fake{}
			tc.before(t, d)
			d.Crash(nil)
			names, err := d.List("f")
			do(t, err)
			if len(names) != len(tc.want) {
				t.Errorf("got %v, want %v", names, tc.want)
			}
			for name, want := range tc.want {
				got, err := d.Read("f/" + name)
				do(t, err)
				if string(got) != want {
					t.Errorf("%s: got %q, want %q", name, got, want)
				}
			}
		})
	}
}

// A sync after a failed one succeeds, although what was written before is lost.
func TestFakeLosesWhatAFailedSyncLeft(t *testing.T) {
	d := &Fake{}
	f, err := d.Create("f/a")
	do(t, err)
	do(t, d.SyncFolder("f"))
	_, err = f.Write([]byte("x"))
	do(t, err)
	d.Fail = func(Operation, string) error { return ErrFake.New("on purpose") }
	if err := f.Sync(); err == nil {
		t.Fatal("Sync: got no error, want one")
	}
	d.Fail = nil
	do(t, f.Sync())
	d.Crash(nil)
	got, err := d.Read("f/a")
	do(t, err)
	if len(got) > 0 {
		t.Errorf("got %q, want nothing", got)
	}
	if _, err := f.Write([]byte("y")); !ErrFake.Has(err) {
		t.Errorf("Write after a crash: got %v, want an error", err)
	}
}
