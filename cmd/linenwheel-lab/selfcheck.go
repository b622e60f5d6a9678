package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/load"
	"linenwheel.dev/linenwheel/lab/load/drive"
	"linenwheel.dev/linenwheel/lab/load/null"
)

// selfCheck plays loads whose results are known against a null server in a process of its own.
func selfCheck(ctx context.Context, to streams) error {
	passed := true
	for _, check := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"machine", machineHolds},
		{"counts agree", countsAgree},
		{"a stall shows", stallShows},
		{"falling behind is told", behindIsTold},
		{"rate held", rateHeld},
	} {
		told, err := check.run(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		word := "ok  "
		if err != nil {
			word, told, passed = "FAIL", err.Error(), false
		}
		fmt.Fprintf(to.out, "%s  %s: %s\n", word, check.name, told)
	}
	if !passed {
		return errVerdict
	}
	return nil
}

// machineHolds says how often the machine itself stands still: a thread that does nothing but read the clock cannot be late
// by its own fault. It tells and never fails; the rate held below is no better than this.
func machineHolds(context.Context) (string, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const length = time.Second
	begin := time.Now()
	last, gaps, sum, most := begin, 0, time.Duration(0), time.Duration(0)
	for last.Sub(begin) < length {
		now := time.Now()
		if gap := now.Sub(last); gap > time.Millisecond {
			gaps, sum, most = gaps+1, sum+gap, max(most, gap)
		}
		last = now
	}
	return fmt.Sprintf("a thread that only read the clock stood still for more than 1 ms %d times in a second, %.1f%% of it, "+
		"%.1f ms at most", gaps, 100*sum.Seconds()/length.Seconds(), float64(most)/1e6), nil
}

// checkPlan is a plan of one class against a null server.
func checkPlan(rate, length float64) *load.Plan {
	p := &load.Plan{Stages: []load.Stage{{From: rate, To: rate, Length: length}}, Spacing: load.Steady, Seed: 1,
		Run: uint64(time.Now().UnixNano()), Connections: 64, Limits: load.Limits{Late: 1, Share: 0.01}}
	p.Mix.Classes = []load.Class{{Name: "all", Path: "/"}}
	if err := p.Mix.Complete("the self-check", ""); err != nil {
		panic(err) // the mix above is complete
	}
	return p
}

// against plays a plan against a null server of its own and gives how many requests that has had.
func against(ctx context.Context, p *load.Plan, args ...string) (r *load.Result, had uint64, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, 0, err
	}
	server := exec.Command(self, append([]string{"null"}, args...)...)
	out, err := server.StdoutPipe()
	if err != nil {
		return nil, 0, err
	}
	if err := server.Start(); err != nil {
		return nil, 0, fmt.Errorf("the null server: %w", err)
	}
	defer func() {
		// It ends with the check, whatever came of that.
		_ = server.Process.Signal(syscall.SIGTERM)
		_ = server.Wait()
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	target, ok := strings.CutPrefix(strings.TrimSpace(line), nullReady)
	if err != nil || !ok {
		return nil, 0, fmt.Errorf("the null server said %q (%v)", line, err) //nolint:errorlint // there may be none
	}
	if r, err = drive.Run(ctx, p, drive.Settings{Target: target, Spin: 0.05}); err != nil {
		return nil, 0, err
	}
	answer, err := http.Get("http://" + target + null.CountsPath)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, 0, err
	}
	had, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	return r, had, err
}

// countsAgree compares the counts of both sides.
func countsAgree(ctx context.Context) (string, error) {
	p := checkPlan(2000, 1000)
	r, had, err := against(ctx, p)
	if err != nil {
		return "", err
	}
	if c := r.Counts; c.Due != 2000 || c.Sent != 2000 || c.Served != 2000 || had != 2000 {
		return "", fmt.Errorf("%d due, %d sent, %d served, the server had %d: want 2000 each", c.Due, c.Sent, c.Served, had)
	}
	return "2000 due, sent, served and had by the server", nil
}

// stallShows lets a server stall, with so few connections that a tool which sends only when it has an answer would hide
// that: of the requests due in a stall, half must have waited for more than half of it.
func stallShows(ctx context.Context) (string, error) {
	p := checkPlan(1000, 2000)
	p.Connections = 2
	const stall = 400.0
	r, _, err := against(ctx, p, "-every", "1s", "-stall", "400ms")
	if err != nil {
		return "", err
	}
	if len(r.Classes[0].Statuses) == 0 {
		return "", errors.New("no request was answered")
	}
	latency := r.Classes[0].Statuses[0].Latency
	h, err := latency.Decode()
	if err != nil {
		return "", err
	}
	long := int64(0)
	for _, bar := range h.Distribution() {
		if bar.From > stall/2*1000 {
			long += bar.Count
		}
	}
	told := fmt.Sprintf("a stall of %.0f ms at 1000/s over 2 connections: %d waited for more than half of it, %.0f ms at most",
		stall, long, latency.Max)
	if long < 150 || long > 300 || latency.Max < 0.9*stall {
		return "", errors.New(told + "; want about 200 and the whole")
	}
	return told, nil
}

// behindIsTold asks for more than the tool can do: the run must be void.
func behindIsTold(ctx context.Context) (string, error) {
	r, _, err := against(ctx, checkPlan(5e6, 50))
	if err != nil {
		return "", err
	}
	if len(r.Void) == 0 {
		return "", fmt.Errorf("5000000/s for 50 ms were called good: %d sent, 99%% within %.3f ms", r.Counts.Sent,
			r.Lateness.Own.P99)
	}
	return r.Void[0], nil
}

// rateHeld doubles the rate until the tool falls behind. Whatever it holds passes: the machine decides.
func rateHeld(ctx context.Context) (string, error) {
	told := ""
	for rate := 2500.0; rate <= 640000; rate *= 2 {
		p := checkPlan(rate, 1500)
		p.Warmup, p.Spacing = 500, load.Poisson
		r, _, err := against(ctx, p)
		if err != nil {
			return "", err
		}
		if len(r.Void) > 0 {
			if told == "" {
				return "", fmt.Errorf("not even %.0f/s: %s", rate, r.Void[0])
			}
			return fmt.Sprintf("%s; not %.0f/s", told, rate), nil
		}
		told = fmt.Sprintf("%.0f/s with 99%% taken up within %.3f ms and written within %.3f ms", rate, r.Lateness.Own.P99,
			r.Lateness.Sent.P99)
	}
	return told, nil
}
