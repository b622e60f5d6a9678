// Package record defines what the stand-ins of a soak write down of what they saw: clients of their requests, raters of their
// runs, the operator of its orders, the platform of its processes. The judge reads nothing else.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
	"sync"
)

// Entry is one record. Exactly one of the pointers is set. All times are readings of the machine's wall clock in nanoseconds since
// 1970: every process of a soak runs on one machine.
type Entry struct {
	At     int64
	Try    *Try    `json:",omitempty"`
	Run    *Run    `json:",omitempty"`
	Ran    *Ran    `json:",omitempty"`
	Left   *Left   `json:",omitempty"`
	Order  *Order  `json:",omitempty"`
	Read   *Read   `json:",omitempty"`
	Change *Change `json:",omitempty"`
}

// Try is one request of a client, written when it has ended. Entry.At is when it was sent.
type Try struct {
	Attempt  string // its id
	Stream   string // name of what the client wants, over all its tries
	Host     string
	Path     string
	Body     string // Text of it
	Key      string
	Usage    string // Token-Usage
	Last     int    // the event that it states to have, 0 = none
	Tokens   int    // of the whole stream
	Machine  string // the data process's
	Status   int    // 0 = no response
	Seal     string
	Answer   string // body
	Complete bool   // the client was told that the body is complete
	Left     bool   // the client left before the end
	Refused  bool   // the connection was not made: nothing was sent
	EndedAt  int64
}

// Run is a request that reached a rater, written before any byte of the response is sent.
type Run struct {
	Attempt   string
	Stream    string
	Rater     string // id of its start
	Service   string
	Method    string
	Path      string
	Body      string // Text of it
	Tenant    string
	Key       string // of the client, which must not be passed on
	Usage     string
	Last      int
	Executed  bool // the rater has begun to work on it
	Status    int  // of its response, 0 = bytes that are no response
	Behaviour string
	Ending    uint8 // of package rater
	Framing   uint8
	LooksLike bool // its bytes look whole although they are not
}

// Ran is the end of a run.
type Ran struct {
	Attempt string
	Rater   string
	Whole   bool // the response has been written whole
}

// Left tells that a control process has acknowledged that a rater drains or is gone.
type Left struct {
	Rater   string
	Machine string
}

// Order is a change that an operator wants, written once its outcome is known or given up. Entry.At is when it was first sent.
type Order struct {
	Method    string
	Base      int64
	Revision  int64
	Body      string
	Behaviour string
	Invalid   bool // by the pages
	Status    int  // 0 = no clear answer
	AckedAt   int64
}

// Read is a configuration that was read back.
type Read struct {
	Status  int
	Body    string
	Machine string
	Final   bool // at the end, after all troubles
	EndedAt int64
}

// Change is what the platform did to a process or saw of it.
type Change struct {
	Machine string
	Role    string // control, data or rater
	What    What
	Detail  string `json:",omitempty"`
}

// What happened to a process.
type What string

// What the platform does and sees.
const (
	Started    What = "started"
	Killed     What = "killed"
	Terminated What = "terminated" // SIGTERM was sent
	Ended      What = "ended"      // after SIGTERM
	Frozen     What = "frozen"
	Thawed     What = "thawed"
	Reloaded   What = "reloaded" // SIGHUP was sent
	OwnEnd     What = "own end"  // it ended by itself
	OverMemory What = "over memory"
	Hung       What = "hung"  // it did not end within its grace
	Wiped      What = "wiped" // its disk was emptied
	Harmed     What = "harmed"
	Healed     What = "healed" // the network is as it was
	Busy       What = "busy"   // the machine had no processor time to give
	Calm       What = "calm"   // no trouble follows
)

// maxText bounds a body of a request in a record, in bytes.
const maxText = 1 << 10

// Text returns a body as it is recorded: itself, or its length and checksum if it is long.
func Text(body string) string {
	if len(body) <= maxText {
		return body
	}
	return fmt.Sprintf("%d bytes, checksum %08x", len(body), crc32.ChecksumIEEE([]byte(body)))
}

// Writer writes entries as lines of JSON. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
}

// NewWriter returns a writer. Each entry is one call of out.Write.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write writes an entry. A nil writer drops it.
func (w *Writer) Write(entry Entry) {
	if w == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err != nil { // cannot happen: an entry is plain data
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.Write(append(line, '\n'))
}

// maxLine bounds a line, in bytes.
const maxLine = 16 << 20

// ReadFiles reads the entries of several files, in the order of their times. A last line that is cut off, as its process was
// killed, is dropped.
func ReadFiles(paths ...string) ([]Entry, error) {
	var entries []Entry
	for _, path := range paths {
		read, err := readFile(path)
		if err != nil {
			return nil, fmt.Errorf("record %s: %w", path, err)
		}
		entries = append(entries, read...)
	}
	Sort(entries)
	return entries, nil
}

// Sort sorts entries by time.
func Sort(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
}

func readFile(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLine)
	var entries []Entry
	var bad error
	for lines.Scan() {
		if bad != nil {
			return nil, bad
		}
		var entry Entry
		if bad = json.Unmarshal(lines.Bytes(), &entry); bad == nil {
			entries = append(entries, entry)
		}
	}
	return entries, errors.Join(lines.Err())
}
