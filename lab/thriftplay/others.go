package thriftplay

import (
	"bufio"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/lab/thriftpeers"
)

//go:embed peer.js
var peer []byte

// Others are peers in another language: the official library for Node.js.
type Others struct {
	Modules string // the folder in which the npm package thrift stands
	Clients bool   // they are the clients,
	Raters  bool   // and the raters
	script  string
}

// Forms are those that the library for Node.js speaks on both sides.
func (o *Others) Forms() []thriftpeers.Form { return thriftpeers.Forms[:4] }

func (o *Others) clients() bool { return o != nil && o.Clients }

func (o *Others) raters() bool { return o != nil && o.Raters }

// Open writes the program of the peers to a folder of its own; close removes it.
func (o *Others) Open() (close func(), err error) {
	folder, err := os.MkdirTemp("", "thriftpeer")
	if err != nil {
		return nil, err
	}
	o.script = filepath.Join(folder, "peer.js")
	return func() { _ = os.RemoveAll(folder) }, os.WriteFile(o.script, peer, 0o600)
}

func (o *Others) command(ctx context.Context, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, "node", append([]string{o.script}, args...)...)
	c.Env = append(os.Environ(), "NODE_PATH="+o.Modules)
	c.Stderr = os.Stderr
	return c
}

// call has the clients make all calls of t.
func (o *Others) call(ctx context.Context, front string, f thriftpeers.Form, connections int, t *Tally) error {
	out, err := o.command(ctx, "client", front, f.Protocol, f.Transport, strconv.Itoa(t.Calls), strconv.Itoa(connections)).Output()
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	var got struct{ Calls, Wrong, Declined int }
	if err := json.Unmarshal(out, &got); err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	t.Wrong, t.Declined = got.Wrong+t.Calls-got.Calls, got.Declined
	return nil
}

// rater starts one; end stops it and tells how many calls came to it more than once.
func (o *Others) rater(f thriftpeers.Form) (address string, end func() (twice int), err error) {
	c := o.command(context.Background(), "rater", f.Protocol, f.Transport)
	in, err := c.StdinPipe()
	if err != nil {
		return "", nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return "", nil, err
	}
	if err := c.Start(); err != nil {
		return "", nil, fmt.Errorf("rater: %w", err)
	}
	lines := bufio.NewReader(out)
	port, err := lines.ReadString('\n')
	if err != nil {
		_ = in.Close()
		return "", nil, fmt.Errorf("rater: %w", err)
	}
	return "127.0.0.1:" + strings.TrimSpace(port), func() int {
		var got struct{ Twice int }
		_ = in.Close()
		if err := json.NewDecoder(lines).Decode(&got); err != nil {
			got.Twice = 1 // it died: nothing is known of it
		}
		_ = c.Wait() // it has said all
		return got.Twice
	}, nil
}
