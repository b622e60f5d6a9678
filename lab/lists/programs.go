package lists

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/loopback"
)

// program is a child process.
type program struct {
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// start starts one of the project's programs. Its lines on standard output go to out, if that is not nil.
func (b *bench) start(out func(at time.Time, line string), name string, args ...string) (*program, error) {
	p := &program{command: exec.Command(filepath.Join(b.set.Bin, name), args...), ended: make(chan struct{})}
	var err error
	if p.log, err = os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	p.command.Stderr = p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var lines io.Reader = strings.NewReader("")
	if out != nil {
		if lines, err = p.command.StdoutPipe(); err != nil {
			return nil, err
		}
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	go func() {
		in := bufio.NewScanner(lines)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			out(time.Now(), in.Text())
		}
		_ = p.command.Wait() // how it ended is in its log
		close(p.ended)
	}()
	return p, nil
}

// stop ends the process.
func (p *program) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		_ = p.command.Process.Kill()
		<-p.ended
	}
	_ = p.log.Close()
}

// peak is the most memory that the process has had, in MB.
func (p *program) peak() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid)) // 0 once it has ended
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.SplitN(rest, "kB", 2)[0]), 64)
	return kb / 1024
}

// cpu is the processor time that the process has used, in seconds.
func (p *program) cpu() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid)) // 0 once it has ended
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

const platform = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":2,"memory_mb":512,"sockets":4096},
"settings":{"group_size":1,"my_number":0,"locality":"z","zones":["z"],"machine_types":["k"],"weights":"nominal",
"classes":[{"name":"look","effect":"read_like","on_time_s":1.5,"hard_limit_s":5,"worth":1}],
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_s":0.25,"conn_idle_s":30},"safety":{"drain_grace_s":0.5}}}`

// files writes what a node of a writer's is told, and gives the flags that name it.
func (b *bench) files(w writer, listen, more string) ([]string, error) {
	conf, opts := filepath.Join(b.dir, "config.json"), filepath.Join(b.dir, "node.toml")
	if err := os.WriteFile(conf, fmt.Appendf(nil, platform, listen, w.discovery()), 0o600); err != nil {
		return nil, err
	}
	return []string{"-config", conf, "-options", opts}, os.WriteFile(opts, []byte(w.options()+more), 0o600)
}

func (b *bench) socket() string { return filepath.Join(b.dir, "node.sock") }

// node starts a node and waits until it is ready.
func (b *bench) node(ctx context.Context, w writer) (p *program, listen string, ready time.Duration, err error) {
	if listen, err = loopback.FreeAddress(); err != nil {
		return nil, "", 0, err
	}
	flags, err := b.files(w, listen, fmt.Sprintf("[takeover]\nsocket = %q\n", b.socket()))
	if err != nil {
		return nil, "", 0, err
	}
	began := time.Now()
	if p, err = b.start(nil, "linenwheel", append([]string{"serve"}, flags...)...); err != nil {
		return nil, "", 0, err
	}
	for ctx.Err() == nil && time.Since(began) < time.Minute {
		got, err := http.Get("http://" + listen + "/up")
		if err == nil {
			_ = got.Body.Close() // nothing in it
			if got.StatusCode == 200 {
				return p, listen, time.Since(began), nil
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.stop()
	return nil, "", 0, fmt.Errorf("the node was not ready in time: see %s", b.dir)
}

// status gives how many milliseconds after a time the node's own status first has a host that drains. Its answer takes a
// while, which is part of that.
func (b *bench) status(ctx context.Context, host string, since time.Time) (float64, error) {
	for ctx.Err() == nil && time.Since(since) < time.Minute {
		text, err := exec.Command(filepath.Join(b.set.Bin, "linenwheel"), "status", "-json", b.socket()).Output()
		at := time.Since(since)
		var answer struct {
			Status struct {
				Hosts []struct{ Name, Status string }
			}
		}
		if err == nil {
			err = json.Unmarshal(text, &answer)
		}
		if err != nil {
			return 0, fmt.Errorf("the node's status: %w", err)
		}
		for _, h := range answer.Status.Hosts {
			if h.Name == host && h.Status == "draining" {
				return float64(at.Microseconds()) / 1000, nil
			}
		}
	}
	return 0, fmt.Errorf("the node never had %s drain", host)
}

// steps follows what a node's list does, without the node.
type steps struct {
	*program
	seen chan step
}

type step struct {
	at   time.Time
	line string
}

func (b *bench) watch(w writer) (*steps, error) {
	flags, err := b.files(w, "127.0.0.1:1", "")
	if err != nil {
		return nil, err
	}
	s := &steps{seen: make(chan step, 1<<16)}
	s.program, err = b.start(func(at time.Time, line string) {
		select {
		case s.seen <- step{at, line}:
		default: // nobody waits
		}
	}, "linenwheel", append([]string{"inventory", "watch"}, flags...)...)
	return s, err
}

// until gives when a line was printed that has all the parts.
func (s *steps) until(ctx context.Context, parts ...string) (time.Time, error) {
	late := time.After(time.Minute)
next:
	for {
		select {
		case one := <-s.seen:
			for _, part := range parts {
				if !strings.Contains(one.line, part) {
					continue next
				}
			}
			return one.at, nil
		case <-s.ended:
			return time.Time{}, fmt.Errorf("%v ended", s.command.Args)
		case <-late:
			return time.Time{}, fmt.Errorf("%v never printed %q", s.command.Args, parts)
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
}
