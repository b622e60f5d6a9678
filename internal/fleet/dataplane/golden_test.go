package dataplane

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestStatusKeysAreUnchanged(t *testing.T) {
	var body statusBody
	wiretest.Fill(&body)
	wiretest.JSON(t, "status.json", body)
}
