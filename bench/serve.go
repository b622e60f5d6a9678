package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/valyala/fasthttp"

	"linenwheel.dev/linenwheel/node"
)

// kinds are the proxies that are measured; the first is the node.
var kinds = []string{"linenwheel", "fasthttp", "httputil"}

// Counts are what a process has used.
type Counts struct {
	Mallocs, Bytes uint64
	Reads, Writes  uint64  // system calls
	Micros         float64 // processor time
	Switches       int64   // of context
}

func (c Counts) less(d Counts) Counts {
	return Counts{c.Mallocs - d.Mallocs, c.Bytes - d.Bytes, c.Reads - d.Reads, c.Writes - d.Writes, c.Micros - d.Micros, c.Switches - d.Switches}
}

// count reads what this process has used.
func count() (c Counts, err error) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.Mallocs, c.Bytes = m.Mallocs, m.TotalAlloc
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return c, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseUint(value, 10, 64)
		switch name {
		case "syscr":
			c.Reads = n
		case "syscw":
			c.Writes = n
		}
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return c, err
	}
	c.Micros = float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3
	c.Switches = u.Nvcsw + u.Nivcsw
	return c, nil
}

// serve is the child: it prints its address, then what it has used for each line that it reads, until its input ends.
func serve(kind string, raters []string) error {
	var address string
	var err error
	switch kind {
	case "linenwheel":
		address, err = serveNode(raters)
	case "fasthttp":
		address, err = serveFast(raters)
	case "httputil":
		address, err = serveStandard(raters)
	default:
		return fmt.Errorf("%q is none of %s", kind, strings.Join(kinds, ", "))
	}
	if err != nil {
		return err
	}
	fmt.Println(address)
	out := json.NewEncoder(os.Stdout)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		c, err := count()
		if err != nil {
			return err
		}
		if err := out.Encode(c); err != nil {
			return err
		}
	}
	return nil
}

const settings = `{"group_size":1,"my_number":0,"locality":"z","zones":["z"],"machine_types":["k"],"weights":"nominal",
 "classes":[{"name":"charge","effect":"non_idempotent","group":"all","on_time_s":5,"hard_limit_s":5,"worth":1},
  {"name":"look","effect":"read_like","on_time_s":5,"hard_limit_s":5,"worth":1}],
 "projects":[{"name":"t","quota_rps":1000000,"share":1}],
 "limits":{"max_attempts":3,"cancel":true,"second_copies":false,"connect_timeout_s":1,"conn_idle_s":60,"max_open":4000},
 "safety":{"drain_grace_s":0.5}}`

func serveNode(raters []string) (string, error) {
	var list []map[string]any
	for i, r := range raters {
		list = append(list, map[string]any{"name": fmt.Sprint("r", i), "address": r, "zone": "z", "type": "k", "status": "Ready", "weight": 1})
	}
	agent, err := discovery(list)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": agent, "seed": "1",
		"limits": map[string]any{"cores": 4, "memory_mb": 256, "sockets": 4096}, "settings": json.RawMessage(settings),
		"known": map[string]any{"index": 0, "endpoints": list}})
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", err
	}
	conf, err := node.Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		return "", err
	}
	n, err := node.New(conf, node.Extras{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return "", err
	}
	go func() { _ = n.Run(context.Background()) }() // it ends with the process
	<-n.Ready()
	return n.Address(), nil
}

// discovery tells the list once; whoever asks for what has changed since waits.
func discovery(list []map[string]any) (string, error) {
	text, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": list})
	if err != nil {
		return "", err
	}
	return listen(func(l net.Listener) error {
		return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("index") != "" {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write(text) // the node asks again if it did not come
		}))
	})
}

// serveFast is a plain proxy on fasthttp that takes raters in turn.
func serveFast(raters []string) (string, error) {
	var turn atomic.Uint64
	hosts := make([]*fasthttp.HostClient, len(raters))
	for i, r := range raters {
		hosts[i] = &fasthttp.HostClient{Addr: r, MaxConns: 4096}
	}
	return listen(func(l net.Listener) error {
		return fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) {
			if err := hosts[turn.Add(1)%uint64(len(hosts))].Do(&ctx.Request, &ctx.Response); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			}
		})
	})
}

// serveStandard is one on the standard library.
func serveStandard(raters []string) (string, error) {
	var turn atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: raters[turn.Add(1)%uint64(len(raters))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096},
	}
	return listen(func(l net.Listener) error { return http.Serve(l, proxy) })
}

func listen(do func(net.Listener) error) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		if err := do(l); err != nil && !errors.Is(err, io.EOF) {
			fmt.Fprintln(os.Stderr, "bench:", err)
			os.Exit(1)
		}
	}()
	return l.Addr().String(), nil
}
