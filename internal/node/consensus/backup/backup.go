// Package backup writes and reads the files that hold all that a fleet has agreed on, for keeping elsewhere: a line of JSON that says
// whose it is, and the ledger's image.
package backup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
)

// form is that of the files; a later one is not read.
const form = 1

// head is the first line.
type head struct {
	Copy  int    `json:"linenwheel_copy"`
	Fleet string `json:"fleet"`
	Index uint64 `json:"index"`
	Sum   uint64 `json:"sum"` // xxhash of the image
}

// Write puts an image as of an entry into a file that must not be there; it is on the disk when Write returns.
func Write(file, fleet string, index uint64, image []byte) error {
	text, err := json.Marshal(head{form, fleet, index, xxhash.Sum64(image)})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(append(append(text, '\n'), image...)); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Read gives what Write has put there.
func Read(file string) (fleet string, index uint64, image []byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", 0, nil, err
	}
	first, image, _ := bytes.Cut(text, []byte("\n"))
	var h head
	switch {
	case json.Unmarshal(first, &h) != nil || h.Copy < 1 || h.Copy > form:
		return "", 0, nil, fmt.Errorf("%s is no copy of what a fleet agreed on, or one of a later release", file)
	case h.Sum != xxhash.Sum64(image):
		return "", 0, nil, fmt.Errorf("%s is damaged", file)
	}
	return h.Fleet, h.Index, image, nil
}
