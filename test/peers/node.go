package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"

	"linenwheel.dev/linenwheel/node"
)

// settings leave a call so much time that a busy machine turns no call down: what is tested here is the protocol.
const settings = `{"group_size":1,"my_number":0,"locality":"z","zones":["z"],"machine_types":["k"],"weights":"nominal",
 "classes":[
  {"name":"pay","effect":"non_idempotent","group":"all","on_time_s":20,"hard_limit_s":60,"worth":1},
  {"name":"alert","effect":"idempotency_key","group":"all","key_ttl_s":60,"on_time_s":20,"hard_limit_s":60,"worth":1},
  {"name":"look","effect":"read_like","on_time_s":20,"hard_limit_s":60,"worth":1}],
 "projects":[{"name":"t","quota_rps":100,"share":1}],
 "limits":{"max_attempts":1,"cancel":true,"second_copies":false,"connect_timeout_s":10,"conn_idle_s":30,"max_open":200},
 "safety":{"drain_grace_s":0.5}}`

// clientPatience is how long, in milliseconds, a node with patientOptions waits for clients.
const clientPatience = 60e3

// lingerLimit is the most, in milliseconds, that the option north.http.linger may have.
const lingerLimit = 10e3

// patientOptions are those of a node that ends no connection of a slow client: a busy machine holds up whole processes for seconds, and
// what is tested here is the protocol, not its time limits.
func patientOptions() *node.Options {
	options := node.DefaultOptions()
	clients := &options.North.HTTP
	clients.IdleAfter.Ms, clients.ReadLimit.Ms, clients.FirstLimit.Ms = clientPatience, clientPatience, clientPatience
	clients.Linger.Ms = lingerLimit // a client that does not read while it sends loses its answer to the end of that time
	options.Platform.ClientRest.Ms, options.Platform.ClientEnd.Ms = clientPatience, 2*clientPatience
	return &options
}

// startNode brings up a node in front of one rater and returns its address; stop ends it. Without options the node has the defaults.
func startNode(rater string, options *node.Options) (address string, stop func(), err error) {
	agent, err := net.Listen("tcp", "127.0.0.1:0") // no discovery: the rater is known from the configuration
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(agent) }()
	dir, err := os.MkdirTemp("", "peers")
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": agent.Addr().String(),
		"seed": "1", "limits": map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings),
		"known": map[string]any{"index": 0, "endpoints": []any{map[string]any{"name": "h1", "address": rater, "zone": "z",
			"type": "k", "status": "Ready", "weight": 1}}}})
	if err != nil {
		return "", nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", nil, err
	}
	conf, err := node.Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		return "", nil, err
	}
	n, err := node.New(conf, node.Extras{Log: slog.New(slog.DiscardHandler), Options: options})
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = n.Run(ctx); close(ended) }()
	stop = func() {
		cancel()
		<-ended
		_ = server.Close()
	}
	for {
		r, err := http.Get("http://" + n.Addr() + "/up")
		if err != nil {
			stop()
			return "", nil, fmt.Errorf("waiting for the node: %w", err)
		}
		_ = r.Body.Close()
		if r.StatusCode == 200 {
			return n.Addr(), stop, nil
		}
	}
}
