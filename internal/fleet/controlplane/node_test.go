package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeriodicLoopsEndWhenStopped(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	stop := n.startLoops(t.Context())
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	require.Eventually(t, func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}, 10*time.Second, time.Millisecond)
}
