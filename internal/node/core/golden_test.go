package core

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against the counts in a node's state having changed in any of their fields.
func TestEncodedTypesKeepTheirForm(t *testing.T) { golden.JSON[[]Ending](t, "endings") }
