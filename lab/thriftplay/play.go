// Package thriftplay sends many calls through a node, with the official Thrift library on both sides, and compares results.
package thriftplay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/lab/thriftpeers"
	"linenwheel.dev/linenwheel/node"
)

// Tally is what became of many calls in one form.
type Tally struct {
	Form     thriftpeers.Form
	Calls    int
	Wrong    int // results that are not their call's, or none
	Declined int // refused by the node
	Twice    int // calls that reached raters more than once
	Seconds  float64
	Mean     float64 // microseconds from a call to its result
}

const settings = `{"group_size":1,"my_number":0,"locality":"z","zones":["z"],"machine_types":["k"],"weights":"nominal",
 "classes":[{"name":"charge","effect":"non_idempotent","group":"all","on_time_s":2,"hard_limit_s":2,"worth":1}],
 "projects":[{"name":"t","quota_rps":1000000,"share":1}],
 "limits":{"max_attempts":3,"cancel":true,"second_copies":false,"connect_timeout_s":1,"conn_idle_s":30},
 "safety":{"drain_grace_s":0.5}}`

// Play sends many calls over several connections through a node to three raters, all in one form, each with a body of its
// own that its result repeats, and compares every result with its call. others, if set, play one side or both.
func Play(ctx context.Context, f thriftpeers.Form, calls, connections int, others *Others) (t Tally, err error) {
	var mu sync.Mutex
	heard := make(map[string]int, calls)
	list := []map[string]any{}
	for i := range 3 {
		if others.raters() {
			address, end, err := others.rater(f)
			if err != nil {
				return t, err
			}
			defer func() { t.Twice += end() }()
			list = append(list, rater(i, address))
			continue
		}
		r, err := thriftpeers.Listen(f, func(h thriftpeers.Heard) (thriftpeers.Result, error) {
			mu.Lock()
			heard[h.Args.ID]++
			mu.Unlock()
			return thriftpeers.Result{Value: h.Args.Body}, nil
		})
		if err != nil {
			return t, err
		}
		defer r.Close()
		list = append(list, rater(i, r.Address()))
	}
	front, stop, err := start(ctx, f, list)
	if err != nil {
		return t, err
	}
	defer stop()
	t = Tally{Form: f, Calls: calls}
	begin := time.Now()
	if others.clients() {
		err := others.call(ctx, front, f, connections, &t)
		t.time(begin, connections)
		return t, err
	}
	var next, wrong, declined atomic.Int64
	var work sync.WaitGroup
	for range connections {
		c, err := thriftpeers.Dial(front, f)
		if err != nil {
			return t, err
		}
		defer c.Close()
		work.Go(func() {
			for n := next.Add(1); n <= int64(calls) && ctx.Err() == nil; n = next.Add(1) {
				body := "record " + strconv.FormatInt(n, 10)
				got, err := c.Call("postCharge", &thriftpeers.Args{ID: strconv.FormatInt(n, 10), Deadline: 2000, Owner: "t", Body: body})
				switch {
				case err == nil && got.Declined:
					declined.Add(1)
				case err != nil || got.Value != body:
					wrong.Add(1)
					if errors.As(err, new(thrift.TTransportException)) {
						return
					}
				}
			}
		})
	}
	work.Wait()
	t.time(begin, connections)
	t.Wrong, t.Declined = int(wrong.Load()), int(declined.Load())
	mu.Lock()
	defer mu.Unlock()
	for _, n := range heard {
		if n > 1 {
			t.Twice++
		}
	}
	return t, ctx.Err()
}

// time takes how long all calls took over so many connections.
func (t *Tally) time(begin time.Time, connections int) {
	t.Seconds = time.Since(begin).Seconds()
	t.Mean = t.Seconds * 1e6 * float64(connections) / float64(t.Calls)
}

func rater(i int, address string) map[string]any {
	return map[string]any{"name": fmt.Sprint("r", i), "address": address, "zone": "z", "type": "k", "status": "Ready", "weight": 1,
		"protocol": "thrift"}
}

// start runs a node that speaks Thrift on both sides, with discovery.
func start(ctx context.Context, f thriftpeers.Form, list []map[string]any) (address string, stop func(), err error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "" { // nothing changes
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"index": 1, "whole": true, "endpoints": list})
	})}
	go func() { _ = server.Serve(inner) }()
	folder, err := os.MkdirTemp("", "thrift")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	running := false
	end := func() { // not stop, which a return with an error sets to nil
		cancel()
		if running {
			<-ended
		}
		_ = server.Close()
		_ = os.RemoveAll(folder)
	}
	defer func() {
		if err != nil {
			end()
		}
	}()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": inner.Addr().String(),
		"seed": "1", "limits": map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"index": 0, "endpoints": list}, "settings": json.RawMessage(settings)})
	if err != nil {
		return "", nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", nil, err
	}
	conf, err := node.Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		return "", nil, err
	}
	o := node.DefaultOptions()
	o.North.Thrift.Listen = "127.0.0.1:0"
	o.North.Thrift.Methods = []options.ThriftMethod{{Name: "postCharge", Class: "charge"}}
	o.South.Thrift.Protocol, o.South.Thrift.Transport = f.Protocol, f.Transport
	n, err := node.New(conf, node.Extras{Options: &o, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		return "", nil, err
	}
	running = true
	go func() { ended <- n.Run(ctx) }()
	select {
	case <-n.Ready():
	case <-time.After(10 * time.Second):
		return "", nil, errors.New("the node is not ready after 10 s")
	}
	return n.ThriftAddress(), end, nil
}
