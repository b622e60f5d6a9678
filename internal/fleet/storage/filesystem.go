package storage

import (
	"errors"
	"os"
)

// FileSystem is what a Store asks of the operating system beside the database's own reads and writes. Tests put another one in
// its place, which keeps account of what a loss of power would leave (package disktest).
type FileSystem interface {
	// BeforeWrite is called before the database appends about so many bytes to a file. An error stands for that of the write.
	BeforeWrite(path string, bytes int) error
	// Sync makes the content of a file durable.
	Sync(file *os.File) error
	// SyncDirectory makes the names of the files in a directory durable.
	SyncDirectory(path string) error
	// Remove removes a file.
	Remove(path string) error
}

// OperatingSystem is the FileSystem of a process in service.
type OperatingSystem struct{}

// BeforeWrite does nothing: the write itself fails where there is no space.
func (OperatingSystem) BeforeWrite(string, int) error { return nil }

// Sync is the file's.
func (OperatingSystem) Sync(file *os.File) error { return file.Sync() }

// SyncDirectory opens the directory and syncs it.
func (OperatingSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Remove is that of package os.
func (OperatingSystem) Remove(path string) error { return os.Remove(path) }
