package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file that is only appended to.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is where segments are. Tests have one that fails where they want.
type Folder interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // it must not be there
	Remove(name string) error
	Sync() error // makes what was created or removed last
}

// Disk is a folder on a disk.
type Disk struct{ Path string }

// Make makes the folder where it is missing, for its owner alone.
func (d Disk) Make() error {
	if err := os.MkdirAll(d.Path, 0o700); err != nil {
		return fmt.Errorf("making the folder: %w", err)
	}
	return nil
}

// List gives the names of the files.
func (d Disk) List() ([]string, error) {
	entries, err := os.ReadDir(d.Path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read gives all of a file.
func (d Disk) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(d.Path, name)) }

// Create begins a file that nobody else may read: it holds answers.
func (d Disk) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.Path, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Remove removes a file.
func (d Disk) Remove(name string) error { return os.Remove(filepath.Join(d.Path, name)) }

// Sync makes the folder's own changes last.
func (d Disk) Sync() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it is only read
	return f.Sync()
}

// ErrInUse tells that another process has the folder.
var ErrInUse = errors.New("another process has the folder open")

// Lock keeps other processes from the folder until the file is closed or this process ends.
func (d Disk) Lock() (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(d.Path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("locking the folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, fmt.Errorf("locking %s: %w", d.Path, err)
	}
	return f, nil
}
