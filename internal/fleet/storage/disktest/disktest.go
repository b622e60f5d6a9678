// Package disktest simulates a disk for crash tests: a directory of real files, together with a record of what has
// been synced. It can crash the writing process at any operation and reject writes like a full disk. After that it
// can simulate a power failure, which may lose any part of what was written since the last sync of a file, and any
// names that were created or removed since the last sync of the directory.
package disktest

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
)

// ErrCrashed is returned by the operation at which the process crashes, and by every later one.
var ErrCrashed = errors.New("disktest: the process has crashed")

// sectorBytes is the size in bytes of the unit that a disk writes atomically.
const sectorBytes = 512

// IgnoredSyncs selects syncs that the disk reports as done without doing them, to show that a test detects it.
type IgnoredSyncs struct {
	Files       bool // syncs of file contents
	Directories bool // syncs of directories
	AtStart     bool // all syncs before the first write after a start
}

// Disk implements storage.FileSystem over a directory. It is not safe for concurrent use.
type Disk struct {
	IgnoredSyncs IgnoredSyncs

	dir                  string
	random               *rand.Rand
	synced               map[string]int64 // number of durable bytes of each file, by its name
	names                map[string]bool  // names of files that are durable
	removed              map[string][]byte
	full                 bool
	crashed              bool
	written              bool // there was a write since the last start
	operationsUntilCrash int  // 0: the process does not crash
}

// New returns a disk on an empty directory. Random choices of what a power failure loses come from random.
func New(dir string, random *rand.Rand) *Disk {
	return &Disk{dir: dir, random: random, synced: map[string]int64{}, names: map[string]bool{}, removed: map[string][]byte{}}
}

// CrashAfter makes the process crash at one of the next operations, 1 being the very next one; 0 cancels the
// crash.
func (d *Disk) CrashAfter(operations int) { d.operationsUntilCrash = operations }

// Crashed reports whether the process has crashed since the last Restart.
func (d *Disk) Crashed() bool { return d.crashed }

// Restart marks the process as restarted, and cancels a crash that was scheduled.
func (d *Disk) Restart() { d.crashed, d.operationsUntilCrash, d.written = false, 0, false }

// SetFull makes the disk reject writes, or accept them again.
func (d *Disk) SetFull(full bool) { d.full = full }

// operation counts one operation and reports whether the process crashes at it or has crashed before.
func (d *Disk) operation() bool {
	if d.operationsUntilCrash > 0 {
		d.operationsUntilCrash--
		d.crashed = d.crashed || d.operationsUntilCrash == 0
	}
	return d.crashed
}

// BeforeWrite rejects the write if the disk is full. If the process crashes or the disk is full, a part of the
// data may end up in the file.
func (d *Disk) BeforeWrite(path string, bytes int) error {
	d.written = true
	before := d.crashed
	switch {
	case d.operation():
		if before {
			return ErrCrashed
		}
		return errors.Join(ErrCrashed, d.appendPart(path, bytes))
	case d.full:
		return errors.Join(syscall.ENOSPC, d.appendPart(path, bytes))
	}
	return nil
}

// appendPart appends the beginning of a torn command.
func (d *Disk) appendPart(path string, bytes int) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	part := append([]byte("*3\r\n$3\r\nset\r\n$"), make([]byte, bytes)...)
	_, err = file.Write(part[:d.random.IntN(len(part))])
	return errors.Join(err, file.Close())
}

// Sync makes the content of a file durable. If the process crashes, the content may or may not be durable.
func (d *Disk) Sync(file *os.File) error {
	before := d.crashed
	crashes := d.operation()
	if before || crashes && d.random.IntN(2) == 0 {
		return ErrCrashed
	}
	if !d.IgnoredSyncs.Files && !d.ignoresSyncAtStart() {
		info, err := file.Stat()
		if err != nil {
			return err
		}
		d.synced[filepath.Base(file.Name())] = info.Size()
	}
	if crashes {
		return ErrCrashed
	}
	return nil
}

func (d *Disk) ignoresSyncAtStart() bool { return d.IgnoredSyncs.AtStart && !d.written }

// SyncDirectory makes the names of the files durable. If the process crashes, they may or may not be durable.
func (d *Disk) SyncDirectory(string) error {
	before := d.crashed
	crashes := d.operation()
	if before || crashes && d.random.IntN(2) == 0 {
		return ErrCrashed
	}
	if !d.IgnoredSyncs.Directories && !d.ignoresSyncAtStart() {
		if err := d.syncNames(); err != nil {
			return err
		}
	}
	if crashes {
		return ErrCrashed
	}
	return nil
}

func (d *Disk) syncNames() error {
	files, err := os.ReadDir(d.dir)
	if err != nil {
		return err
	}
	clear(d.names)
	for _, file := range files {
		d.names[file.Name()] = true
	}
	clear(d.removed)
	return nil
}

// Remove removes a file. The file may reappear after a power failure if the directory was not synced in between.
func (d *Disk) Remove(path string) error {
	before := d.crashed
	crashes := d.operation()
	if before || crashes && d.random.IntN(2) == 0 {
		return ErrCrashed
	}
	name := filepath.Base(path)
	if d.names[name] {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		d.removed[name] = content
	}
	if err := os.Remove(path); err != nil {
		return err
	}
	if crashes {
		return ErrCrashed
	}
	return nil
}

// LosePower simulates a power failure: it loses a random part of what was not synced. The remainder is durable.
// The process must have ended.
func (d *Disk) LosePower() error {
	for name, content := range d.removed {
		if d.random.IntN(2) == 0 {
			if err := os.WriteFile(filepath.Join(d.dir, name), content, 0o600); err != nil {
				return err
			}
		}
	}
	files, err := os.ReadDir(d.dir)
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := d.loseUnsynced(file.Name()); err != nil {
			return err
		}
	}
	return d.markAllDurable()
}

// loseUnsynced removes a file whose name was not synced, or damages the part of its content that was not synced.
func (d *Disk) loseUnsynced(name string) error {
	path := filepath.Join(d.dir, name)
	if !d.names[name] && d.random.IntN(2) == 0 {
		return os.Remove(path)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	synced := min(int(d.synced[name]), len(content))
	if synced == len(content) {
		return nil
	}
	return os.WriteFile(path, d.damage(content, synced), 0o600)
}

// damage returns the content of a file whose unsynced part is damaged: its end is missing, or random sectors are
// zeroed.
func (d *Disk) damage(content []byte, synced int) []byte {
	end := synced + d.random.IntN(len(content)-synced+1)
	if d.random.IntN(2) == 0 {
		return content[:end]
	}
	for start := synced; start < len(content); start = (start/sectorBytes + 1) * sectorBytes {
		if d.random.IntN(2) == 0 {
			clear(content[start:min((start/sectorBytes+1)*sectorBytes, len(content))])
		}
	}
	return content
}

// markAllDurable records the present files and their contents as durable.
func (d *Disk) markAllDurable() error {
	clear(d.synced)
	if err := d.syncNames(); err != nil {
		return err
	}
	for name := range d.names {
		info, err := os.Stat(filepath.Join(d.dir, name))
		if err != nil {
			return err
		}
		d.synced[name] = info.Size()
	}
	return nil
}

// Wipe empties the disk.
func (d *Disk) Wipe() error {
	files, err := os.ReadDir(d.dir)
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := os.Remove(filepath.Join(d.dir, file.Name())); err != nil {
			return err
		}
	}
	d.full = false
	clear(d.removed)
	return d.markAllDurable()
}
