//go:build !linux

package drive

import (
	"context"
	"errors"
	"net"
	"time"

	"linenwheel.dev/linenwheel/lab/load"
)

type worker struct {
	tally       *load.Tally
	until       float64
	interrupted bool
}

func newWorker(*load.Plan, int, Settings, *net.TCPAddr, *load.Template, int) (*worker, error) {
	return nil, errors.New("the load tool needs Linux")
}

func (w *worker) run(context.Context, time.Time, func(load.Interval)) {}
func (w *worker) close()                                              {}
func processorTime() float64                                          { return 0 }
func stolenTime() float64                                             { return -1 }
