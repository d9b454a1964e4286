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

// Operation is a kind of operation on a fake disk.
type Operation uint8

// The operations that Fake.Fail can fail.
const (
	OperationCreate Operation = iota
	OperationWrite
	OperationSync
	OperationRename
	OperationRemove
	OperationSyncDirectory
)

// ErrFake is the class of errors of a fake disk itself, and of injected failures.
var ErrFake = errs.Class("fake disk")

// pageSize is the size in bytes of a page. Unsynced pages reach the disk in any
// order.
const pageSize = 512

// inode is the content of a file.
type inode struct {
	// written is the content that readers see; synced is the content that surely
	// survives a crash.
	written []byte
	synced  []byte
	// syncFailed is set by a failed sync. The system then marks the pages as
	// clean, so that a later sync succeeds without writing them.
	syncFailed bool
}

// directory maps names to files, as readers see them and as last synced.
type directory struct {
	names  map[string]*inode
	synced map[string]*inode
}

// Fake is an in-memory disk whose crash loses whatever was not synced: content, new
// names, renames and removals. Its zero value is empty.
type Fake struct {
	// Fail is called before each operation and fails it by returning an error. Nil
	// fails none.
	Fail func(operation Operation, name string) error

	mu          sync.Mutex
	directories map[string]*directory
	locked      map[string]bool
	// generation counts the crashes. Open files and locks of an earlier generation
	// are invalid.
	generation int
}

// directory returns a directory, which it creates if it is missing.
func (d *Fake) directory(name string) *directory {
	if d.directories == nil {
		d.directories = map[string]*directory{}
	}
	dir := d.directories[name]
	if dir == nil {
		dir = &directory{names: map[string]*inode{}, synced: map[string]*inode{}}
		d.directories[name] = dir
	}
	return dir
}

func (d *Fake) injectFailure(operation Operation, name string) error {
	if d.Fail == nil {
		return nil
	}
	return d.Fail(operation, name)
}

// Create implements Disk.
func (d *Fake) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFailure(OperationCreate, name); err != nil {
		return nil, err
	}
	node := &inode{}
	d.directory(path.Dir(name)).names[path.Base(name)] = node
	return &fakeFile{disk: d, node: node, name: name, generation: d.generation}, nil
}

// Read implements Disk.
func (d *Fake) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.directory(path.Dir(name)).names[path.Base(name)]
	if node == nil {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(node.written), nil
}

// List implements Disk.
func (d *Fake) List(name string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.directory(name).names), nil
}

// Rename implements Disk.
func (d *Fake) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFailure(OperationRename, from); err != nil {
		return err
	}
	source := d.directory(path.Dir(from)).names
	node := source[path.Base(from)]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(source, path.Base(from))
	d.directory(path.Dir(to)).names[path.Base(to)] = node
	return nil
}

// Remove implements Disk.
func (d *Fake) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFailure(OperationRemove, name); err != nil {
		return err
	}
	delete(d.directory(path.Dir(name)).names, path.Base(name))
	return nil
}

// MkdirAll implements Disk. A directory survives each crash.
func (d *Fake) MkdirAll(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory(name)
	return nil
}

// SyncDirectory implements Disk.
func (d *Fake) SyncDirectory(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFailure(OperationSyncDirectory, name); err != nil {
		return err
	}
	dir := d.directory(name)
	dir.synced = maps.Clone(dir.names)
	return nil
}

// Lock implements Disk. A crash releases the lock.
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
	return &fakeLock{disk: d, name: name, generation: d.generation}, nil
}

// Crash simulates a power failure. A random part of what was not synced is lost, or
// all of it if random is nil. Open files and locks become invalid.
func (d *Fake) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.locked = nil
	for _, name := range sortedNames(d.directories) {
		d.directories[name].crash(random)
	}
}

// Damage flips one bit of the byte at an offset of a file, as a failing disk does.
func (d *Fake) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.directory(path.Dir(name)).names[path.Base(name)]
	node.written = slices.Clone(node.written)
	node.written[offset] ^= 1
	node.synced = node.written
}

// crash keeps for each name, independently of the others, either the synced or the
// current file.
func (dir *directory) crash(random *rand.Rand) {
	surviving := map[string]*inode{}
	for _, name := range sortedNames(dir.allNames()) {
		node := dir.synced[name]
		if random != nil && random.IntN(2) == 0 {
			node = dir.names[name]
		}
		if node != nil {
			surviving[name] = node.afterCrash(random)
		}
	}
	dir.names = surviving
	dir.synced = maps.Clone(surviving)
}

// allNames returns the current and the synced names, with the current files.
func (dir *directory) allNames() map[string]*inode {
	all := maps.Clone(dir.synced)
	maps.Copy(all, dir.names)
	return all
}

// afterCrash returns the file after a crash: the synced bytes and, unless random is
// nil, a torn tail of the others.
func (n *inode) afterCrash(random *rand.Rand) *inode {
	surviving := slices.Clone(n.synced)
	if random != nil && len(n.written) > len(n.synced) {
		surviving = append(surviving, tornTail(n.written[len(n.synced):], random)...)
	}
	return &inode{written: surviving, synced: surviving}
}

// tornTail returns a prefix of the unsynced bytes in which some pages are zero.
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

// fakeFile is an open file. It is invalid after the next crash.
type fakeFile struct {
	disk       *Fake
	node       *inode
	name       string
	generation int
}

// checkFailure returns an error if a crash invalidated the file or Fail fails the
// operation.
func (f *fakeFile) checkFailure(operation Operation) error {
	if f.generation != f.disk.generation {
		return ErrFake.New("file %s was open during a crash", f.name)
	}
	return f.disk.injectFailure(operation, f.name)
}

func (f *fakeFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.checkFailure(OperationWrite); err != nil {
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
	if err := f.checkFailure(OperationSync); err != nil {
		f.node.syncFailed = true
		return err
	}
	if !f.node.syncFailed {
		f.node.synced = slices.Clone(f.node.written)
	}
	return nil
}

func (f *fakeFile) Close() error {
	return nil
}

// fakeLock is a held lock. The next crash releases it.
type fakeLock struct {
	disk       *Fake
	name       string
	generation int
}

func (l *fakeLock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.generation == l.disk.generation {
		delete(l.disk.locked, l.name)
	}
	return nil
}
