// Package disktest is a disk for tests of crashes: a directory of real files, of which it knows what has been synced. It can end the
// process that writes at any operation, refuse writes as a full disk does, and after that lose what a loss of power may lose: any part
// of what was written since the last sync of a file, and the names that were made or removed since the last sync of the directory.
package disktest

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
)

// ErrCrashed is what every operation returns from the one on at which the process crashed.
var ErrCrashed = errors.New("disktest: the process has crashed")

// sectorBytes is the size of what a disk writes whole or not at all.
const sectorBytes = 512

// Lies are syncs that a disk reports as done and does not do, to show that a test notices.
type Lies struct {
	Files       bool // the content of files
	Directories bool // the names of files
	AtStart     bool // whatever is synced before the first write after a start
}

// Disk implements storage.FileSystem over a directory. It is not safe for concurrent use.
type Disk struct {
	Lies Lies

	dir       string
	random    *rand.Rand
	synced    map[string]int64 // bytes of each file that are durable, by its name
	names     map[string]bool  // that are durable
	removed   map[string][]byte
	full      bool
	crashed   bool
	written   bool // since the last start
	crashLeft int  // operations until the process crashes, 0 = it does not
}

// New returns a disk over an empty directory. What it loses is drawn from random.
func New(dir string, random *rand.Rand) *Disk {
	return &Disk{dir: dir, random: random, synced: map[string]int64{}, names: map[string]bool{}, removed: map[string][]byte{}}
}

// CrashAfter has the process crash at one of the next operations, 1 for the very next; 0 takes that back.
func (d *Disk) CrashAfter(operations int) { d.crashLeft = operations }

// Crashed reports whether the process has crashed since the last Restart.
func (d *Disk) Crashed() bool { return d.crashed }

// Restart begins another life of the process.
func (d *Disk) Restart() { d.crashed, d.crashLeft, d.written = false, 0, false }

// SetFull has the disk refuse writes, or take them again.
func (d *Disk) SetFull(full bool) { d.full = full }

// operation counts one operation and reports whether the process crashes at it.
func (d *Disk) operation() bool {
	if d.crashLeft > 0 {
		d.crashLeft--
		d.crashed = d.crashed || d.crashLeft == 0
	}
	return d.crashed
}

// BeforeWrite refuses the write where the disk is full. Where the process crashes, or the disk is full, a part of what was to be
// written may be in the file.
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

// appendPart appends the beginning of a command that was cut off.
func (d *Disk) appendPart(path string, bytes int) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	part := append([]byte("*3\r\n$3\r\nset\r\n$"), make([]byte, bytes)...)
	_, err = file.Write(part[:d.random.IntN(len(part))])
	return errors.Join(err, file.Close())
}

// Sync makes the content of a file durable. Where the process crashes, it may be or not.
func (d *Disk) Sync(file *os.File) error {
	before := d.crashed
	crashes := d.operation()
	if before || crashes && d.random.IntN(2) == 0 {
		return ErrCrashed
	}
	if !d.Lies.Files && !d.liesAtStart() {
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

func (d *Disk) liesAtStart() bool { return d.Lies.AtStart && !d.written }

// SyncDirectory makes the names of the files durable. Where the process crashes, they may be or not.
func (d *Disk) SyncDirectory(string) error {
	before := d.crashed
	crashes := d.operation()
	if before || crashes && d.random.IntN(2) == 0 {
		return ErrCrashed
	}
	if !d.Lies.Directories && !d.liesAtStart() {
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

// Remove removes a file. Its name comes back with a loss of power before the directory is synced.
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

// LosePower loses what may be lost of what was not synced. What is left is durable. The process must have ended.
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
	return d.settle()
}

// loseUnsynced loses a file whose name was not synced, or some of the content that was not.
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

// damage returns a file of which any part after the synced one may be missing: its end, or sectors between others that are there.
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

// settle takes what is there for durable.
func (d *Disk) settle() error {
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
	return d.settle()
}
