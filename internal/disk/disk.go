// Package disk defines the file operations that durable state depends on, so that
// tests can replace them with operations that fail.
package disk

import "io"

// File is a file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync returns once all written bytes are on the disk. After an error, the
	// state of all bytes written since the last successful Sync is unknown.
	Sync() error
}

// Disk holds files in directories. Names are slash-separated paths.
type Disk interface {
	// Create opens an empty file and replaces any file with that name. The new
	// name is durable only after SyncDirectory.
	Create(name string) (File, error)
	// Read returns the content of a file. If there is none, the error wraps
	// fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// List returns the sorted names of the files in a directory.
	List(directory string) ([]string, error)
	// Rename renames a file and replaces any file with the new name. It is durable
	// only after SyncDirectory.
	Rename(from, to string) error
	// Remove deletes a file. It is durable only after SyncDirectory.
	Remove(name string) error
	// MkdirAll durably creates a directory and its missing parents.
	MkdirAll(directory string) error
	// SyncDirectory makes the names of the files in a directory durable.
	SyncDirectory(directory string) error
	// Lock takes the lock of a file, which one process at a time can hold.
	// Closing the result releases the lock.
	Lock(name string) (io.Closer, error)
}
