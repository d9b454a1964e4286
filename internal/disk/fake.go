package disk

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// Operation names a kind of operation on a fake disk.
type Operation uint8

// The operations that a fake disk counts and can fail.
const (
	OperationCreate Operation = iota
	OperationWrite
	OperationSync
	OperationRename
	OperationRemove
	OperationSyncFolder
)

// ErrFake is the class of errors that a fake disk was told to return.
var ErrFake = errs.Class("fake disk")

// pageSize is the unit in which unsynced bytes reach the disk, in any order.
const pageSize = 512

type inode struct {
	// written is what a reader sees; synced is what a crash leaves for sure.
	written []byte
	synced  []byte
	// lost is set by a failed sync: the system takes the pages for clean, so
	// that a later sync succeeds without writing them.
	lost bool
}

type folder struct {
	names  map[string]*inode
	synced map[string]*inode
}

// Fake is a disk in memory that forgets at a crash what was not synced:
// content, new names, renames and removals. Its zero value is empty.
type Fake struct {
	// Fail is called before each operation; an error fails it.
	Fail func(operation Operation, name string) error

	mu      sync.Mutex
	folders map[string]*folder
	locked  map[string]bool
	// life counts the crashes; files of an earlier life are dead.
	life int
}

func (d *Fake) folder(name string) *folder {
	if d.folders == nil {
		d.folders = map[string]*folder{}
	}
	f := d.folders[name]
	if f == nil {
		f = &folder{names: map[string]*inode{}, synced: map[string]*inode{}}
		d.folders[name] = f
	}
	return f
}

func (d *Fake) fail(operation Operation, name string) error {
	if d.Fail == nil {
		return nil
	}
	return d.Fail(operation, name)
}

// Create opens an empty file.
func (d *Fake) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fail(OperationCreate, name); err != nil {
		return nil, err
	}
	node := &inode{}
	d.folder(path.Dir(name)).names[path.Base(name)] = node
	return &fakeFile{disk: d, node: node, name: name, life: d.life}, nil
}

// Read returns the content of a file.
func (d *Fake) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.folder(path.Dir(name)).names[path.Base(name)]
	if node == nil {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(node.written), nil
}

// List returns the names of the files in a folder.
func (d *Fake) List(name string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.folder(name).names), nil
}

// Rename moves a file.
func (d *Fake) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fail(OperationRename, from); err != nil {
		return err
	}
	source := d.folder(path.Dir(from)).names
	node := source[path.Base(from)]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(source, path.Base(from))
	d.folder(path.Dir(to)).names[path.Base(to)] = node
	return nil
}

// Remove deletes a file.
func (d *Fake) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fail(OperationRemove, name); err != nil {
		return err
	}
	delete(d.folder(path.Dir(name)).names, path.Base(name))
	return nil
}

// MakeFolder creates a folder; a fake one always lasts.
func (d *Fake) MakeFolder(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.folder(name)
	return nil
}

// SyncFolder makes the names in a folder last.
func (d *Fake) SyncFolder(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fail(OperationSyncFolder, name); err != nil {
		return err
	}
	f := d.folder(name)
	f.synced = maps.Clone(f.names)
	return nil
}

// Lock takes a lock that a crash lets go.
func (d *Fake) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked[name] {
		return nil, ErrLocked.New("%s", name)
	}
	if d.locked == nil {
		d.locked = map[string]bool{}
	}
	d.locked[name] = true
	return &fakeLock{disk: d, name: name, life: d.life}, nil
}

// Crash loses power: what was not synced is lost in part or whole, as random
// decides; a nil random loses all of it. Open files and locks are dead.
func (d *Fake) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.locked = nil
	for _, name := range sortedNames(d.folders) {
		d.folders[name].crash(random)
	}
}

// Damage flips one bit of a file, as a failing disk does.
func (d *Fake) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.folder(path.Dir(name)).names[path.Base(name)]
	node.written = slices.Clone(node.written)
	node.written[offset] ^= 1
	node.synced = node.written
}

// crash keeps, for each name by itself, either what was synced or what came
// after it.
func (f *folder) crash(random *rand.Rand) {
	left := map[string]*inode{}
	for _, name := range sortedNames(f.all()) {
		node := f.synced[name]
		if random != nil && random.IntN(2) == 0 {
			node = f.names[name]
		}
		if node != nil {
			left[name] = node.afterCrash(random)
		}
	}
	f.names = left
	f.synced = maps.Clone(left)
}

func (f *folder) all() map[string]*inode {
	all := maps.Clone(f.synced)
	maps.Copy(all, f.names)
	return all
}

func (n *inode) afterCrash(random *rand.Rand) *inode {
	left := slices.Clone(n.synced)
	if random != nil && len(n.written) > len(n.synced) {
		left = append(left, tornTail(n.written[len(n.synced):], random)...)
	}
	return &inode{written: left, synced: left}
}

// tornTail returns a prefix of unsynced bytes in which some pages are zero.
func tornTail(unsynced []byte, random *rand.Rand) []byte {
	tail := slices.Clone(unsynced[:random.IntN(len(unsynced)+1)])
	for start := 0; start < len(tail); start += pageSize {
		if random.IntN(4) == 0 {
			clear(tail[start:min(start+pageSize, len(tail))])
		}
	}
	return tail
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type fakeFile struct {
	disk *Fake
	node *inode
	name string
	life int
}

func (f *fakeFile) check(operation Operation) error {
	if f.life != f.disk.life {
		return ErrFake.New("%s was open at a crash", f.name)
	}
	return f.disk.fail(operation, f.name)
}

func (f *fakeFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.check(OperationWrite); err != nil {
		half := len(p) / 2
		f.node.written = append(f.node.written, p[:half]...)
		return half, err
	}
	f.node.written = append(f.node.written, p...)
	return len(p), nil
}

func (f *fakeFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.check(OperationSync); err != nil {
		f.node.lost = true
		return err
	}
	if !f.node.lost {
		f.node.synced = slices.Clone(f.node.written)
	}
	return nil
}

func (f *fakeFile) Close() error {
	return nil
}

type fakeLock struct {
	disk *Fake
	name string
	life int
}

func (l *fakeLock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.life == l.disk.life {
		delete(l.disk.locked, l.name)
	}
	return nil
}
