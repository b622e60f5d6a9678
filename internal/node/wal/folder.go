package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// File is an append-only file.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is the directory that holds the segments. Tests replace it by one that injects faults.
type Folder interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // fails if the file exists
	Remove(name string) error
	Sync() error // makes creations and removals of files durable
}

// Disk is a folder on a disk.
type Disk struct{ Path string }

// Make creates the folder if it does not exist, accessible to its owner only.
func (d Disk) Make() error {
	if err := os.MkdirAll(d.Path, 0o700); err != nil {
		return fmt.Errorf("creating the folder: %w", err)
	}
	return nil
}

// List returns the names of the regular files.
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

// Read returns the content of a file.
func (d Disk) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(d.Path, name)) }

// Create creates a file that only its owner may read, because records contain responses.
func (d Disk) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.Path, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Remove removes a file.
func (d Disk) Remove(name string) error { return os.Remove(filepath.Join(d.Path, name)) }

// Sync makes changes of the folder itself durable.
func (d Disk) Sync() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened read-only, so that no write can be lost
	return f.Sync()
}

// ErrInUse is returned by Lock if another process holds the lock.
var ErrInUse = errors.New("another process has the folder open")

// Lock locks the folder against other processes until the returned file is closed or this process ends.
func (d Disk) Lock() (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(d.Path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("locking the folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to it
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, fmt.Errorf("locking %s: %w", d.Path, err)
	}
	return f, nil
}
