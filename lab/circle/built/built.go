// Package built builds the project's programs for tests that start them as processes of their own.
package built

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
)

// Programs builds commands of this module into a folder, under the race detector where raced, and gives the folder. A name is
// that of a folder in cmd, or the path of a folder from the module's root. Whoever calls it removes the folder.
func Programs(raced bool, names ...string) (dir string, err error) {
	if dir, err = os.MkdirTemp("", "built"); err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raced {
		args = append(args, "-race")
	}
	for _, n := range names {
		if !strings.Contains(n, "/") {
			n = "cmd/" + n
		}
		args = append(args, "./"+n)
	}
	c := exec.Command("go", args...)
	c.Dir = root()
	if text, err := c.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir) // the first error counts
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return dir, nil
}

// root is this module's folder.
func root() string {
	_, self, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(self), "../../..")
}

// Look looks at every source that the programs can be made of. A test calls it, once it runs: the go command then knows that its
// result is of these sources, and does not take an old one for it.
func Look() error {
	for _, dir := range []string{"cmd", "decide", "internal", "lab", "node"} {
		err := filepath.WalkDir(filepath.Join(root(), dir), func(path string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Main builds programs for the tests of a package, runs them, and ends the process; dir is set to where the programs are.
func Main(run func() int, dir *string, raced bool, programs ...string) {
	made, err := Programs(raced, programs...)
	if err != nil {
		panic(err)
	}
	*dir = made
	status := run()
	_ = os.RemoveAll(made) // whatever is left goes with the machine's temporary files
	os.Exit(status)
}
