package output

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var errFull = errors.New("full")

// failsOnce is a writer whose second write fails; all others succeed.
type failsOnce struct{ writes int }

func (f *failsOnce) Write(b []byte) (int, error) {
	if f.writes++; f.writes == 2 {
		return 0, errFull
	}
	return len(b), nil
}

// Guards against an error that is lost when a later write succeeds.
func TestFirstErrorIsKept(t *testing.T) {
	w := On(&failsOnce{})
	for i, want := range []error{nil, errFull, errFull} {
		_, _ = fmt.Fprintln(w, "x")
		require.Equal(t, want, w.Err(), i)
	}
}
