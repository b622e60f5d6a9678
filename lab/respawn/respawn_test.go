package respawn

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProcessIsStartedAgainUntilItIsStopped(t *testing.T) {
	output := filepath.Join(t.TempDir(), "output")
	ends := make(chan int, 100)
	p := New(output, func(start int) *exec.Cmd {
		if start == 1 {
			return exec.Command("sh", "-c", "echo first")
		}
		return exec.Command("sleep", "60")
	}, func(start int) { ends <- start })
	returned := make(chan struct{})
	go func() {
		p.Run()
		close(returned)
	}()
	require.Equal(t, 1, <-ends, "it ends by itself")
	require.Eventually(t, func() bool { return p.Starts() == 2 }, 30*time.Second, time.Millisecond)
	p.Kill()
	require.Equal(t, 2, <-ends)
	require.Eventually(t, func() bool { return p.Starts() == 3 }, 30*time.Second, time.Millisecond)
	p.Stop()
	<-returned
	require.Equal(t, 3, p.Starts())
	text, err := os.ReadFile(output)
	require.NoError(t, err)
	require.Equal(t, "first\n", string(text))
}
