package statedir

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Form describes a file format that detects truncation and damage: a header line with the magic text, the format
// version, the length of the body and its checksum (xxHash64), followed by the body.
type Form struct {
	Magic   string // begins the header line, for example "linenwheel state"
	What    string // describes the content in errors, for example "state of a node"
	Version int    // the version that is written; it and the previous one can be read
}

// Encode returns the body with its header line in front.
func (f Form) Encode(body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %d %016x\n", f.Magic, f.Version, len(body), xxhash.Sum64(body)), body...)
}

// Decode checks a text that Encode wrote, and returns its body and its version. The error says whether the text has
// another format, a version that is not supported, or is truncated or damaged.
func (f Form) Decode(text []byte) (body []byte, version int, err error) {
	head, body, _ := bytes.Cut(text, []byte("\n"))
	rest, matches := strings.CutPrefix(string(head), f.Magic+" ")
	if !matches {
		if strings.HasPrefix(f.Magic, string(head)) {
			return nil, 0, errors.New("it is torn")
		}
		return nil, 0, fmt.Errorf("it is not a %s", f.What)
	}
	var size int
	var sum uint64
	oldest := max(1, f.Version-1)
	if n, err := fmt.Sscanf(rest, "%d %d %x", &version, &size, &sum); n < 1 {
		return nil, 0, fmt.Errorf("its first line cannot be read: %w", err)
	} else if version > f.Version || version < oldest {
		return nil, 0, fmt.Errorf("it is of form %d, and %d to %d are read", version, oldest, f.Version)
	} else if n < 3 || size != len(body) {
		return nil, 0, errors.New("it is torn")
	}
	if sum != xxhash.Sum64(body) {
		return nil, 0, errors.New("its checksum is wrong")
	}
	return body, version, nil
}

// WriteFileAtomic replaces the content of a file atomically: after a crash of the process or the machine the file
// holds either the old or the new content in full. The new content is first written to the path with the suffix
// `.new`.
func WriteFileAtomic(path string, text []byte) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadFile reads at most maxBytes+1 bytes of a file, so that the caller can tell that a file is longer than maxBytes.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is open for reading only
	return io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
}
