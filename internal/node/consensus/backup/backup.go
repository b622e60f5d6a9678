// Package backup writes and reads backups of the replicated state. A backup is a line of JSON that identifies the
// fleet, followed by an image of package statemachine.
package backup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// Errors of Read.
var (
	// ErrForm says that a file is not a backup, or was written by a later release.
	ErrForm = errors.New("is not a backup of a fleet's state, or was written by a later release")
	// ErrDamaged says that the checksum of a backup does not match.
	ErrDamaged = errors.New("is damaged")
)

// version is the newest version of backup files that this release reads.
const version = 1

// header is the first line of a backup.
type header struct {
	Copy  int    `json:"linenwheel_copy"` // version
	Fleet string `json:"fleet"`
	Index uint64 `json:"index"`
	Sum   uint64 `json:"sum"` // xxhash of the image
}

// Write writes an image, which contains the entries up to index, to a file that must not exist. It syncs the file
// and then its directory: after a nil error, the file and its name survive a power failure.
func Write(file, fleet string, index uint64, image []byte) error {
	return write(file, fleet, index, image, (*os.File).Sync)
}

func write(file, fleet string, index uint64, image []byte, sync func(*os.File) error) error {
	text, err := json.Marshal(header{version, fleet, index, xxhash.Sum64(image)})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(append(append(text, '\n'), image...)); err == nil {
		err = sync(f)
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	directory, err := os.Open(filepath.Dir(file))
	if err != nil {
		return err
	}
	return errors.Join(sync(directory), directory.Close())
}

// Read reads a backup that Write has written. The error wraps ErrForm or ErrDamaged, or is an error of the file.
func Read(file string) (fleet string, index uint64, image []byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", 0, nil, err
	}
	first, image, _ := bytes.Cut(text, []byte("\n"))
	var h header
	switch {
	case json.Unmarshal(first, &h) != nil || h.Copy < 1 || h.Copy > version:
		return "", 0, nil, fmt.Errorf("%s %w", file, ErrForm)
	case h.Sum != xxhash.Sum64(image):
		return "", 0, nil, fmt.Errorf("%s %w", file, ErrDamaged)
	}
	return h.Fleet, h.Index, image, nil
}
