package dataplane

import (
	"testing"

	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestTheStatusKeepsItsKeys(t *testing.T) {
	var body statusBody
	wiretest.Fill(&body)
	wiretest.JSON(t, "status.json", body)
}
