// Package built builds the project's programs for tests that start them as processes of their own.
package built

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
)

// Programs builds commands of this module into a folder, under the race detector where raced, and gives the folder. Whoever
// calls it removes it.
func Programs(raced bool, names ...string) (dir string, err error) {
	_, self, _, _ := runtime.Caller(0)
	if dir, err = os.MkdirTemp("", "built"); err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raced {
		args = append(args, "-race")
	}
	for _, n := range names {
		args = append(args, "./cmd/"+n)
	}
	c := exec.Command("go", args...)
	c.Dir = filepath.Join(filepath.Dir(self), "../../..")
	if text, err := c.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir) // the first error counts
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return dir, nil
}
