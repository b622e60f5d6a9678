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

// maxLinks is the maximum number of symbolic links that are followed to a file.
const maxLinks = 40

// maxTries is how many times files that change while they are read are read, without a pause.
const maxTries = 5

var errChanged = errors.New("files kept changing while they were read")

// Read reads a file or all list files of a folder, at most maxBytes bytes. The result is a consistent snapshot as
// far as the metadata show it: names, link targets, inodes, sizes and modification times are the same before and
// after the read.
func Read(path string, maxBytes int) (parts []Part, err error) {
	for range maxTries {
		var before, after []identity
		if before, err = stat(path); err != nil {
			return nil, err
		}
		if parts, err = readAll(before, maxBytes); err != nil {
			continue // for example a file that has just disappeared
		}
		if after, err = stat(path); err != nil || slices.Equal(before, after) {
			return parts, err
		}
		err = fmt.Errorf("%s: %w", path, errChanged)
	}
	return nil, err
}

// identity holds the metadata by which a change of a file is detected.
type identity struct {
	path, real string
	inode      uint64
	size       int64
	changed    time.Time
}

// stat returns the identities of the list files, sorted by name.
func stat(path string) (list []identity, err error) {
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
			return nil, fmt.Errorf("%s: %d files, at most %d are allowed", path, len(paths), MaxFiles)
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

func readAll(list []identity, maxBytes int) (parts []Part, err error) {
	left := maxBytes
	for _, one := range list {
		text, err := readFile(one.real, left)
		if err != nil {
			return nil, err
		}
		if left -= len(text); left < 0 {
			return nil, fmt.Errorf("%s: the list is over %d bytes", one.path, maxBytes)
		}
		parts = append(parts, Part{one.path, text})
	}
	return parts, nil
}

// readFile reads a file, but at most one byte more than maxBytes, which shows that the file is too long.
func readFile(path string, maxBytes int) ([]byte, error) {
	// O_NONBLOCK: if the file has been replaced by a pipe meanwhile, the node must not wait for a writer.
	in, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }() // opened for reading only, so that Close loses nothing
	return io.ReadAll(io.LimitReader(in, int64(maxBytes)+1))
}

// WatchDirs returns the folders in which a change can make path refer to different content: the folder that it is
// or is in, and the folders of the symbolic links on the way.
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
			add(at) // notifies when it is created
			return list
		}
		if err == nil && info.IsDir() {
			at = next
		}
	}
	add(at)
	return list
}
