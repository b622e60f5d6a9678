package httpbackend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// Guards against outcomes that differ from the protocol's table.
func TestOutcomes(t *testing.T) {
	marked := []http1.Field{{Name: []byte("srv-declined"), Value: []byte("1")}}
	for _, c := range []struct {
		status int
		fields []http1.Field
		want   dispatch.Outcome
	}{{200, nil, dispatch.Served}, {500, nil, dispatch.Failed}, {503, marked, dispatch.Declined}, {504, marked, dispatch.Declined},
		{503, nil, dispatch.Failed}, {500, marked, dispatch.Failed}, {404, nil, dispatch.Rejected}, {400, marked, dispatch.Rejected}, {201, nil, dispatch.Failed}} {
		assert.Equal(t, c.want, outcome(&http1.Message{Status: c.status, Fields: c.fields}), c.status)
	}
}
