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

// Form is that of a file which is whole or not there: a line of text, which names what it is, its version, the length
// and the checksum (xxHash64) of what follows, and that.
type Form struct {
	Magic   string // "linenwheel state"
	What    string // "state of a node", for errors
	Version int    // that is written; it and the one before are read
}

// Encode puts the line before a body.
func (f Form) Encode(body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %d %016x\n", f.Magic, f.Version, len(body), xxhash.Sum64(body)), body...)
}

// Decode gives the body of what Encode wrote and its version, and names what it is where it is not that.
func (f Form) Decode(text []byte) (body []byte, version int, err error) {
	head, body, _ := bytes.Cut(text, []byte("\n"))
	rest, ours := strings.CutPrefix(string(head), f.Magic+" ")
	if !ours {
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

// WriteFileAtomic has a text stand at a path in place of what was there: either is there afterwards, whole, whatever ends the
// machine. On the way the text stands at the path with `.new` behind it.
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

// ReadFile reads a file of at most so many bytes; of a longer one it gives one byte more.
func ReadFile(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it is only read
	return io.ReadAll(io.LimitReader(f, int64(most)+1))
}
