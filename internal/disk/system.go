package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"
)

// ErrLocked is the class of errors for a folder that another process holds.
var ErrLocked = errs.Class("folder in use")

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// System is the disk of the machine. Its zero value works.
type System struct{}

// Create opens an empty file.
func (System) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
}

// Read returns the content of a file.
func (System) Read(name string) ([]byte, error) {
	return os.ReadFile(name)
}

// List returns the names of the files in a folder.
func (System) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
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

// Rename moves a file.
func (System) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove deletes a file.
func (System) Remove(name string) error {
	return os.Remove(name)
}

// MakeFolder creates a folder and syncs the folder above each created one.
func (s System) MakeFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	above := filepath.Dir(folder)
	if above != folder {
		if err := s.MakeFolder(above); err != nil {
			return err
		}
	}
	if err := os.Mkdir(folder, folderPerm); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return s.SyncFolder(above)
}

// SyncFolder makes the names in a folder last.
func (System) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock takes an advisory lock on a file; it ends with the process.
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
