package node

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against what a node's processes tell each other, and keep, having changed in any of its fields.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Knowledge](t, "knowledge")
	golden.JSON[Order](t, "order")
}
