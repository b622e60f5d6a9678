package control

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against a frame's object having changed in any of its fields.
func TestEncodedTypesKeepTheirForm(t *testing.T) { golden.JSON[message](t, "message") }
