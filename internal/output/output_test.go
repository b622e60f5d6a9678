package output

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var errFull = errors.New("full")

// filling takes one write, then is full for one, then takes all again.
type filling struct{ writes int }

func (f *filling) Write(b []byte) (int, error) {
	if f.writes++; f.writes == 2 {
		return 0, errFull
	}
	return len(b), nil
}

// Guards against an error that is forgotten once a later write is good.
func TestFirstErrorIsKept(t *testing.T) {
	w := On(&filling{})
	for i, want := range []error{nil, errFull, errFull} {
		_, _ = fmt.Fprintln(w, "x")
		require.Equal(t, want, w.Err(), i)
	}
}
