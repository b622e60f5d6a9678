// Command long measures a node under many long answers at once: raters that give 32 MB each as fast as they are taken, clients
// that read slowly, and a node with little memory. It prints how many answers came whole, and the node's peak of resident memory.
// All of it is on loopback and ends within its time limit. docs/measurements/day-by-day.md has a run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/loopback"
)

const settings = `{"group_size":1,"my_number":0,"locality":"z","zones":["z"],"machine_types":["k"],"weights":"nominal",
 "classes":[{"name":"pay","effect":"non_idempotent","group":"all","on_time_s":30,"hard_limit_s":60,"worth":1}],
 "projects":[],"limits":{"max_attempts":1,"cancel":true,"second_copies":false,"connect_timeout_s":1,"conn_idle_s":30},
 "safety":{"drain_grace_s":0.5}}`

type run struct {
	binary           string
	answers, size    int
	rate             int // bytes a second that a client reads
	memory           float64
	sockets          int
	limit            time.Duration
	whole            atomic.Int64
	listen, discover string
}

func main() {
	r := run{}
	flag.StringVar(&r.binary, "binary", "bin/linenwheel", "the node's program")
	flag.IntVar(&r.answers, "answers", 64, "answers at once")
	flag.IntVar(&r.size, "size", 32<<20, "bytes of each")
	flag.IntVar(&r.rate, "rate", 4<<20, "bytes a second that a client reads")
	flag.Float64Var(&r.memory, "memory", 32, "the node's limit, MB")
	flag.IntVar(&r.sockets, "sockets", 256, "its descriptors")
	flag.DurationVar(&r.limit, "limit", 2*time.Minute, "of the whole run")
	flag.Parse()
	if err := r.play(); err != nil {
		fmt.Fprintln(os.Stderr, "long:", err)
		os.Exit(1)
	}
}

// play starts raters, discovery and the node, has the clients ask and prints what came of it.
func (r *run) play() error {
	dir, err := os.MkdirTemp("", "long")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rater, err := serve(http.HandlerFunc(r.answer))
	if err != nil {
		return err
	}
	entry := map[string]any{"name": "r", "address": rater, "zone": "z", "type": "k", "status": "Ready", "weight": 1}
	list := map[string]any{"index": 1, "snapshot": true, "endpoints": []any{entry}}
	if r.discover, err = serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("wait") {
			time.Sleep(time.Second)
			list = map[string]any{"index": 1, "snapshot": false, "endpoints": []any{}}
		}
		_ = json.NewEncoder(w).Encode(list)
	})); err != nil {
		return err
	}
	if r.listen, err = loopback.FreeAddress(); err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": r.listen, "discovery": r.discover, "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": r.memory, "sockets": r.sockets},
		"settings": json.RawMessage(settings)})
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "config.json"), config, 0o600)
	}
	if err != nil {
		return err
	}
	node := exec.Command(r.binary)
	node.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(dir, "config.json"))
	node.Stderr = os.Stderr
	if err := node.Start(); err != nil {
		return err
	}
	defer func() { _ = node.Process.Kill(); _ = node.Wait() }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", r.listen); err == nil {
			_ = c.Close()
			break
		}
	}
	begin := time.Now()
	var clients sync.WaitGroup
	for i := range r.answers {
		clients.Go(func() { r.ask(i) })
	}
	clients.Wait()
	peak, err := peakMemory(node.Process.Pid)
	if err != nil {
		return err
	}
	fmt.Printf("%d of %d answers of %d bytes came whole in %.1f s; peak of resident memory %s of %.0f MB\n", r.whole.Load(), r.answers,
		r.size, time.Since(begin).Seconds(), peak, r.memory)
	return nil
}

func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// answer is the rater.
func (r *run) answer(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("Content-Length", fmt.Sprint(r.size))
	piece := make([]byte, 64<<10)
	for left := r.size; left > 0; left -= len(piece) {
		if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
			return
		}
	}
}

// ask is one client.
func (r *run) ask(number int) {
	c, err := net.Dial("tcp", r.listen)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.limit))
	_, _ = fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: q%d\r\nReq-Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n", number)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != 200 {
		return
	}
	buffer, got := make([]byte, 64<<10), 0
	for err == nil {
		var n int
		n, err = answer.Body.Read(buffer)
		got += n
		time.Sleep(time.Duration(float64(n) / float64(r.rate) * float64(time.Second)))
	}
	if got == r.size {
		r.whole.Add(1)
	}
}

// peakMemory reads the highest resident memory of a process so far.
func peakMemory(pid int) (string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(rest), nil
		}
	}
	return "unknown", err
}
