// Package disk names the few file operations on which durable state rests, so
// that they can be replaced by ones that fail.
package disk

import "io"

// File is a file that is written from its start to its end.
type File interface {
	io.WriteCloser
	// Sync returns when everything written is on the disk. After an error
	// nothing is known about what was written since the last success.
	Sync() error
}

// Disk holds files in folders. Names are slash-separated paths.
type Disk interface {
	// Create opens an empty file, in place of any file of that name. Its name
	// lasts only after SyncFolder.
	Create(name string) (File, error)
	// Read returns the content of a file, or an error that wraps
	// fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// List returns the names of the files in a folder, in order.
	List(folder string) ([]string, error)
	// Rename moves a file in place of any file of the new name. It lasts only
	// after SyncFolder.
	Rename(from, to string) error
	// Remove deletes a file. It lasts only after SyncFolder.
	Remove(name string) error
	// MakeFolder creates a folder, and those above it, durably.
	MakeFolder(folder string) error
	// SyncFolder makes the names in a folder last.
	SyncFolder(folder string) error
	// Lock takes a file that one process at a time can hold. Closing it lets
	// it go.
	Lock(name string) (io.Closer, error)
}
