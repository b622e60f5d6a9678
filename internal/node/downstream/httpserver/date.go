package httpserver

import (
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/codec/http1"
)

// dates formats the value of the Date header field once a second.
type dates struct{ last atomic.Pointer[date] }

type date struct {
	second int64
	text   []byte
}

// at returns the value for a time in milliseconds since the Unix epoch.
func (d *dates) at(now float64) []byte {
	second := int64(now / 1000)
	last := d.last.Load()
	if last == nil || last.second != second {
		last = &date{second, http1.AppendDate(nil, time.Unix(second, 0))}
		d.last.Store(last)
	}
	return last.text
}
