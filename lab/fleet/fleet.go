// Package fleet runs a whole router fleet on loopback: real control and data processes, each with an address of its own
// out of the loopback range, before stand-in raters. The demo and the tests across processes use it.
package fleet

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/lab/engine"
)

// The figures of a fleet on loopback.
const (
	heartbeatEvery = 400 * time.Millisecond
	callWithin     = 2 * time.Second
	retryPause     = 50 * time.Millisecond
	graceSeconds   = 4
	hostsForOthers = 100 // the hosts of the network up to this number are for machines
)

// Options describe a fleet.
type Options struct {
	Control   int
	Data      int
	Raters    int
	Binaries  string        // folder of linenwheel-control and linenwheel-data
	Folder    string        // for settings, disks and logs
	Heartbeat time.Duration // of raters; 0 = a short one
	Settings  []string      // further lines of all settings files
	Zones     int           // among which the machines are divided; 0 = one
}

// Machine is one process on an address of its own.
type Machine struct {
	Name    string
	IP      string
	zone    string
	program string
	folder  string
	command *exec.Cmd
	ended   chan struct{}
}

// Fleet is a running fleet.
type Fleet struct {
	Control []*Machine
	Data    []*Machine
	Raters  []*engine.Server
	options Options
	network *loopback.Network
	ports   ports
	cancel  context.CancelFunc
}

// ports are alike on all machines.
type ports struct{ front, readiness, control, internal int }

// Start starts a fleet. Its raters register themselves until it is stopped.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, ports: ports{front: 8662, readiness: 8663, control: 8665, internal: 7680}}
	network, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	f.network = network
	for i := range options.Control {
		f.Control = append(f.Control, f.machine(fmt.Sprintf("control-%d", i+1), i+1, "linenwheel-control"))
	}
	for i := range options.Data {
		f.Data = append(f.Data, f.machine(fmt.Sprintf("data-%d", i+1), options.Control+i+1, "linenwheel-data"))
	}
	for _, m := range append(append([]*Machine(nil), f.Control...), f.Data...) {
		if err := f.Boot(m, true); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range options.Raters {
		server, err := engine.Start(fmt.Sprintf("rater-%d", i+1), "llm", engine.DefaultModel())
		if err != nil {
			return nil, errors.Join(err, f.Stop())
		}
		f.Raters = append(f.Raters, server)
		go f.register(ctx, server)
	}
	return f, nil
}

func (f *Fleet) machine(name string, number int, program string) *Machine {
	ip := f.network.Host(10 + number)
	zone := "loopback"
	if f.options.Zones > 0 {
		zone = fmt.Sprintf("zone-%d", number%f.options.Zones+1)
	}
	return &Machine{Name: name, IP: ip, zone: zone, program: filepath.Join(f.options.Binaries, program), folder: filepath.Join(f.options.Folder, name)}
}

// Boot starts a machine's process. First is whether the whole system starts for the first time.
func (f *Fleet) Boot(m *Machine, first bool) error {
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "boot.conf")
	if err := os.WriteFile(settings, []byte(f.settings(m, first)), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(m.program, "--settings", settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.Join(err, output.Close())
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

func (f *Fleet) settings(m *Machine, first bool) string {
	var seeds []string
	for _, one := range f.Control {
		seeds = append(seeds, f.address(one, f.ports.control))
	}
	var text strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&text, "%s=%v\n", key, value) }
	line("NodeName", m.Name)
	line("Ip", m.IP)
	line("Zone", m.zone)
	line("Listen.Front", f.address(m, f.ports.front))
	line("Listen.Readiness", f.address(m, f.ports.readiness))
	line("Listen.Control", f.address(m, f.ports.control))
	line("InternalPorts", fmt.Sprintf("%d,%d", f.ports.internal, f.ports.internal+10))
	line("Seeds", strings.Join(seeds, ","))
	line("Bootstrap", first)
	line("CountsForQuorum", true)
	line("HeartbeatMs", cmp.Or(f.options.Heartbeat, heartbeatEvery).Milliseconds())
	line("FaultTolerance.Machines", (f.options.Control-1)/2)
	line("Bounds.GraceS", graceSeconds)
	line("Bounds.Closed", true)
	if strings.HasSuffix(m.program, "control") {
		line("DataDir", filepath.Join(m.folder, "disk"))
	}
	for _, further := range f.options.Settings {
		text.WriteString(further + "\n")
	}
	return text.String()
}

func (f *Fleet) address(m *Machine, port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Internal is a control process's address for internal calls.
func (f *Fleet) Internal(m *Machine) string { return f.address(m, f.ports.internal) }

// ControlAddress is a control process's address for raters and the operator.
func (f *Fleet) ControlAddress(m *Machine) string { return f.address(m, f.ports.control) }

// Process is the process id of a machine's program.
func (m *Machine) Process() int { return m.command.Process.Pid }

// Ended returns a channel that is closed when the process that was started last has ended.
func (m *Machine) Ended() <-chan struct{} { return m.ended }

// ExitState describes how the process that was started last has ended, once it has.
func (m *Machine) ExitState() string { return m.command.ProcessState.String() }

// Wipe empties the machine's disk. No process may run.
func (m *Machine) Wipe() error { return os.RemoveAll(filepath.Join(m.folder, "disk")) }

// Use has the machine's process started from the programs in a folder, from its next start on.
func (m *Machine) Use(binaries string) { m.program = filepath.Join(binaries, filepath.Base(m.program)) }

// Signal sends a signal to a machine's process.
func (m *Machine) Signal(signal os.Signal) error { return m.command.Process.Signal(signal) }

// Front is the address of a machine for clients.
func (f *Fleet) Front(m *Machine) string { return f.address(m, f.ports.front) }

// Kill ends a machine's process at once, as by a loss of power.
func (m *Machine) Kill() {
	if m.command != nil {
		_ = m.command.Process.Kill()
		<-m.ended
	}
}

// Host returns an IP address of the fleet's network that no machine has, by a number from 1 to 100.
func (f *Fleet) Host(number int) string { return f.network.Host(hostsForOthers + number) }

// Terminate asks a machine's process to end, and waits until it has.
func (m *Machine) Terminate() {
	if m.command != nil {
		_ = m.command.Process.Signal(syscall.SIGTERM)
		<-m.ended
	}
}

// Stop ends everything.
func (f *Fleet) Stop() error {
	if f.cancel != nil {
		f.cancel()
	}
	for _, m := range append(append([]*Machine(nil), f.Control...), f.Data...) {
		m.Kill()
	}
	for _, server := range f.Raters {
		server.Close()
	}
	return f.network.Release()
}

// register sends a rater's heartbeats, each to the first control process that takes it.
func (f *Fleet) register(ctx context.Context, server *engine.Server) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		for _, m := range f.Control {
			if server.Beat(f.address(m, f.ports.control), "ready") == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Configure has an order taken, by any control process that answers, within a time.
func (f *Fleet) Configure(method string, base int64, body string, within time.Duration) error {
	var last error
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(retryPause) {
		for _, m := range f.Control {
			status, answer, err := f.call(method, "http://"+f.address(m, f.ports.control)+"/-/config", base, body)
			switch {
			case err != nil:
				last = err
			case status == http.StatusOK:
				return nil
			case status < http.StatusInternalServerError:
				return fmt.Errorf("status %d: %s", status, answer)
			default:
				last = fmt.Errorf("status %d: %s", status, answer)
			}
		}
	}
	return fmt.Errorf("not taken in time: %w", last)
}

// Read reads the configuration back.
func (f *Fleet) Read(within time.Duration) (string, error) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(retryPause) {
		for _, m := range f.Control {
			status, body, err := f.call(http.MethodGet, "http://"+f.address(m, f.ports.control)+"/-/config", 0, "")
			if err == nil && status == http.StatusOK {
				return body, nil
			}
		}
	}
	return "", errors.New("the configuration could not be read in time")
}

func (f *Fleet) call(method, url string, base int64, body string) (int, string, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	if method != http.MethodGet {
		request.Header.Set("If-Match", fmt.Sprint(base))
	}
	client := http.Client{Timeout: callWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// Request sends one request to a machine and gives the status and body of its answer.
func (f *Fleet) Request(m *Machine, host, path, key, id string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.Front(m)+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Api-Key", key)
	request.Header.Set("Deadline-Ms", "2000")
	request.Header.Set("Token-Usage", "900,40")
	request.Header.Set("Prompt-Prefix", "aa:400,bb:300,"+id+":200")
	client := http.Client{Timeout: callWithin}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// AwaitServing waits until every data process serves a path with a key.
func (f *Fleet) AwaitServing(host, path, key string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range f.Data {
		for {
			status, _, err := f.Request(m, host, path, key, fmt.Sprintf("%016x", time.Now().UnixNano()))
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve %s: status %d, %w", m.Name, path, status, err)
			}
			time.Sleep(retryPause)
		}
	}
	return nil
}
