package files

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// maxLinks is how many links there may be on the way to a file.
const maxLinks = 40

// maxTries is how often a folder that changes while it is read is read again at once.
const maxTries = 5

var errChanged = errors.New("it changed while it was read, again and again")

// Read reads a file or all list files of a folder, most bytes at the most. It gives what was there at one moment, as far as
// that can be seen from outside: names, places behind links, sizes and times are the same before and after.
func Read(path string, most int) (parts []Part, err error) {
	for range maxTries {
		var before, after []identity
		if before, err = look(path); err != nil {
			return nil, err
		}
		if parts, err = readAll(before, most); err != nil {
			continue // a file that was there a moment ago
		}
		if after, err = look(path); err != nil || slices.Equal(before, after) {
			return parts, err
		}
		err = fmt.Errorf("%s: %w", path, errChanged)
	}
	return nil, err
}

// identity is what is seen of a file from outside.
type identity struct {
	path, real string
	inode      uint64
	size       int64
	changed    time.Time
}

// look finds the files of a list, sorted by name.
func look(path string) (list []identity, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	paths := []string{path}
	if info.IsDir() {
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, err
		}
		paths = paths[:0]
		for _, e := range entries {
			if isList(e.Name()) {
				paths = append(paths, filepath.Join(path, e.Name()))
			}
		}
		if len(paths) == 0 {
			return nil, fmt.Errorf("%s: %w", path, errNoFile)
		}
		if len(paths) > MaxFiles {
			return nil, fmt.Errorf("%s: %d files, at most %d can be taken", path, len(paths), MaxFiles)
		}
	}
	for _, p := range paths {
		one := identity{path: p}
		if one.real, err = filepath.EvalSymlinks(p); err != nil {
			return nil, err
		}
		info, err := os.Stat(one.real)
		if err != nil {
			return nil, err
		}
		if !info.Mode().IsRegular() {
			return nil, fmt.Errorf("%s: not a regular file", p)
		}
		if sys, ok := info.Sys().(*syscall.Stat_t); ok {
			one.inode = sys.Ino
		}
		one.size, one.changed = info.Size(), info.ModTime()
		list = append(list, one)
	}
	return list, nil
}

func readAll(list []identity, most int) (parts []Part, err error) {
	left := most
	for _, one := range list {
		text, err := readFile(one.real, left)
		if err != nil {
			return nil, err
		}
		if left -= len(text); left < 0 {
			return nil, fmt.Errorf("%s: the list is over %d bytes", one.path, most)
		}
		parts = append(parts, Part{one.path, text})
	}
	return parts, nil
}

// readFile reads a file, and one byte more than it may have if it has them.
func readFile(path string, most int) ([]byte, error) {
	// Should a pipe have come to stand there since, the node does not wait for who writes to it.
	in, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }() // it is only read
	return io.ReadAll(io.LimitReader(in, int64(most)+1))
}

// WatchDirs gives those in which a change can make a path another file: the one that it is or stands in, and those of the
// links on the way.
func WatchDirs(path string) (list []string) {
	add := func(dir string) {
		if !slices.Contains(list, dir) {
			list = append(list, dir)
		}
	}
	path, err := filepath.Abs(path)
	if err != nil {
		return nil
	}
	left := strings.Split(strings.Trim(path, "/"), "/")
	at := "/"
	for links := 0; len(left) > 0 && links <= maxLinks; {
		name := left[0]
		left = left[1:]
		switch name {
		case "", ".":
			continue
		case "..":
			at = filepath.Dir(at)
			continue
		}
		next := filepath.Join(at, name)
		target, err := os.Readlink(next)
		if err == nil {
			links++
			add(at)
			if filepath.IsAbs(target) {
				at = "/"
			}
			left = append(strings.Split(target, "/"), left...)
			continue
		}
		info, err := os.Lstat(next)
		if errors.Is(err, fs.ErrNotExist) {
			add(at) // it may come to be there
			return list
		}
		if err == nil && info.IsDir() {
			at = next
		}
	}
	add(at)
	return list
}
