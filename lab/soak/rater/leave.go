package rater

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Times of a rater that leaves.
const (
	acknowledgeWithin = 3 * time.Second // after which it leaves without an acknowledgement
	callWithin        = time.Second
	retryPause        = 50 * time.Millisecond
	leavingMargin     = 300 * time.Millisecond // for which it serves on beyond its drain time
)

// leaveOnSignal has the rater leave on SIGTERM, by draining, or on SIGUSR1, by deregistering first.
func (p *Process) leaveOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1)
	received := <-signals
	p.leaving.Store(true)
	if received == syscall.SIGTERM {
		p.untilAcknowledged(func(control string) error { return p.Registration.Send(control, "draining") })
		time.Sleep(p.Drain + leavingMargin)
		p.untilAcknowledged(p.deregister)
		os.Exit(0)
	}
	p.untilAcknowledged(p.deregister)
	time.Sleep(p.Drain + leavingMargin)
	os.Exit(0)
}

// untilAcknowledged makes a call to one control process after the other until one acknowledges it, and records that.
func (p *Process) untilAcknowledged(call func(control string) error) {
	for deadline := time.Now().Add(acknowledgeWithin); time.Now().Before(deadline); time.Sleep(retryPause) {
		for _, control := range p.Control {
			if call(control) == nil {
				p.Records.Write(record.Entry{At: time.Now().UnixNano(), Left: &record.Left{Rater: p.Registration.ID, Machine: control}})
				return
			}
		}
	}
}

// deregister sends the call by which a rater deregisters.
func (p *Process) deregister(control string) error {
	request, err := http.NewRequest(http.MethodDelete, "http://"+control+"/-/instances/"+p.Registration.ID, nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: callWithin}).Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &statusError{response.StatusCode}
	}
	return nil
}

// statusError reports a call that was not acknowledged.
type statusError struct{ status int }

func (e *statusError) Error() string { return http.StatusText(e.status) }
