package core

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/golden"
)

// Guards against a change of the encoded form of a node's counts.
func TestEncodedTypesKeepTheirForm(t *testing.T) { golden.JSON[[]AnswerCount](t, "endings") }
