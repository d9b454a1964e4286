package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"
)

// ErrLocked is the class of errors for a lock that another process holds.
var ErrLocked = errs.Class("folder in use")

const (
	filePerm      = 0o600
	directoryPerm = 0o700
)

// System is the file system of the machine. Its zero value is ready to use.
type System struct{}

// Create implements Disk.
func (System) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
}

// Read implements Disk.
func (System) Read(name string) ([]byte, error) {
	return os.ReadFile(name)
}

// List implements Disk.
func (System) List(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Rename implements Disk.
func (System) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements Disk.
func (System) Remove(name string) error {
	return os.Remove(name)
}

// MkdirAll implements Disk. It syncs the parent of each directory that it creates.
func (s System) MkdirAll(directory string) error {
	if _, err := os.Stat(directory); err == nil {
		return nil
	}
	parent := filepath.Dir(directory)
	if parent != directory {
		if err := s.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(directory, directoryPerm); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return s.SyncDirectory(parent)
}

// SyncDirectory implements Disk.
func (System) SyncDirectory(directory string) error {
	f, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements Disk with an advisory lock, which ends with the process.
func (System) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, ErrLocked.Wrap(errors.Join(err, f.Close()))
	}
	return f, nil
}
