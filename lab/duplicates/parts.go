package duplicates

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"time"
)

// serve starts a stand-in on loopback.
func serve(handle http.HandlerFunc) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: handle, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // until Close
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// discovery answers the list, which never changes.
func discovery(w http.ResponseWriter, r *http.Request, hosts []string) {
	list := []map[string]any{}
	if r.URL.Query().Get("index") == "" {
		for i, address := range hosts {
			list = append(list, map[string]any{"name": fmt.Sprintf("r%d", i), "address": address, "zone": "hall-a",
				"type": "mid-3", "status": "Ready", "weight": 1})
		}
	} else {
		wait, err := time.ParseDuration(r.URL.Query().Get("wait") + "ms")
		if err != nil {
			wait = time.Second
		}
		select {
		case <-r.Context().Done():
		case <-time.After(wait):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"index": 1, "snapshot": len(list) > 0, "endpoints": list}) // or it has left
}

// configuration is what the platform gives the node.
func configuration(name, listen, discovery string) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 2, "memory_mb": 192, "sockets": 4096},
		"settings": map[string]any{"group_size": 1, "my_number": 0, "locality": "hall-a", "zones": []string{"hall-a"},
			"machine_types": []string{"mid-3"}, "weights": "nominal",
			"classes": []any{map[string]any{"name": "post-charge", "effect": "non_idempotent", "group": "all",
				"on_time_s": 0.6, "hard_limit_s": 2, "worth": 3}},
			"projects": []any{map[string]any{"name": "morava-mobil", "quota_rps": 1000, "share": 1}},
			"limits": map[string]any{"max_attempts": 3, "cancel": true, "connect_timeout_s": 0.25, "conn_idle_s": 30,
				"max_open": 2000},
			"safety": map[string]any{"drain_grace_s": 0.5}}}
}

// quantile is the value below which a part of the values lie; it sorts them.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}
