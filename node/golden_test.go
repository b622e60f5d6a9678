package node

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against a change in any field of the types that a node's processes exchange and store.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Knowledge](t, "knowledge")
	golden.JSON[Order](t, "order")
}
