package storage

import (
	"errors"
	"os"
)

// FileSystem contains the file operations that a Store needs in addition to the reads and writes of the database.
// Tests replace it by an implementation that tracks what would survive a power failure (package disktest).
type FileSystem interface {
	// BeforeWrite is called before the database appends approximately the given number of bytes to a file. An
	// error is treated as an error of that write.
	BeforeWrite(path string, bytes int) error
	// Sync makes the content of a file durable.
	Sync(file *os.File) error
	// SyncDirectory makes the entries of a directory durable.
	SyncDirectory(path string) error
	// Remove removes a file.
	Remove(path string) error
}

// OperatingSystem is the FileSystem used in production.
type OperatingSystem struct{}

// BeforeWrite does nothing: if there is no space, the write itself fails.
func (OperatingSystem) BeforeWrite(string, int) error { return nil }

// Sync syncs the file.
func (OperatingSystem) Sync(file *os.File) error { return file.Sync() }

// SyncDirectory opens the directory and syncs it.
func (OperatingSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Remove removes the file with os.Remove.
func (OperatingSystem) Remove(path string) error { return os.Remove(path) }
