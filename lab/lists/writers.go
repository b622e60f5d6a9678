package lists

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/lab/etcdtest"
)

// entry is a host as the platform's form has it.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   float64 `json:"since_ms"`
}

// writer is whoever keeps a list and changes it.
type writer interface {
	options() string   // of the node that reads it
	change(...entry)   // one version; a status of Gone takes a host away
	discovery() string // the address that config.json has
	close()
}

// writer makes one of a kind.
func (b *bench) writer(kind string) (writer, error) {
	switch kind {
	case "discovery":
		return newDiscovery()
	case "etcd":
		return b.newEtcd()
	case "files, renamed", "files, in place":
		return &file{path: filepath.Join(b.dir, "list.json"), inPlace: kind == "files, in place", hosts: map[string]entry{}}, nil
	}
	return nil, fmt.Errorf("no writer %q", kind)
}

// discovery is the platform's, as its protocol has it.
type discovery struct {
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	news  chan struct{}
	index int
	hosts map[string]entry
	since map[int][]entry // what changed at each index
}

func newDiscovery() (writer, error) {
	d := &discovery{news: make(chan struct{}), hosts: map[string]entry{}, since: map[int][]entry{}}
	var err error
	if d.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.answer), ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(d.listener) }() // until close
	return d, nil
}

func (d *discovery) options() string {
	return "[inventory.discovery]\nlist_most = \"64MiB\"\nfetch_limit = \"5s\"\n"
}
func (d *discovery) discovery() string { return d.listener.Addr().String() }
func (d *discovery) close()            { _ = d.server.Close() }

func (d *discovery) change(list ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range list {
		if d.hosts[e.Name] = e; e.Status == "Gone" {
			delete(d.hosts, e.Name)
		}
	}
	d.since[d.index] = list
	close(d.news)
	d.news = make(chan struct{})
}

func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64) // 0 without one
	over := time.After(time.Duration(wait * 1e6))
	d.mu.Lock()
	defer d.mu.Unlock()
	for waiting := err == nil; waiting && index == d.index; {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		d.mu.Lock()
	}
	out := struct {
		Index     int     `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{d.index, err != nil, []entry{}}
	if out.Snapshot {
		out.Endpoints = slices.Collect(maps.Values(d.hosts))
	}
	for at := index + 1; err == nil && at <= d.index; at++ {
		out.Endpoints = append(out.Endpoints, d.since[at]...)
	}
	_ = json.NewEncoder(w).Encode(out) // the node has gone
}

// etcd is a cluster of three members, and the agent that reads it.
type etcd struct {
	cluster *etcdtest.Cluster
	agent   *program
	addr    string
}

const prefix = "/linenwheel/raters/"

func (b *bench) newEtcd() (writer, error) {
	e, path := &etcd{}, filepath.Join(b.dir, "agent.toml")
	var err error
	if e.cluster, err = etcdtest.New(etcdtest.Settings{Members: 3, Clock: clock.NewSystem()}); err != nil {
		return nil, err
	}
	if e.addr, err = loopback.FreeAddress(); err == nil {
		err = os.WriteFile(path, []byte(e.options()), 0o600)
	}
	if err == nil {
		e.agent, err = b.start(nil, "linenwheel-etcd", "-options", path)
	}
	if err != nil {
		e.cluster.Close()
	}
	return e, err
}

func (e *etcd) options() string {
	ends, _ := json.Marshal(e.cluster.Endpoints()) // plain texts
	return fmt.Sprintf("[inventory]\ntrust = [\"etcd\"]\n[inventory.etcd]\nagent = %q\nendpoints = %s\n", e.addr, ends)
}

func (e *etcd) discovery() string { return "127.0.0.1:1" }

func (e *etcd) close() {
	e.agent.stop()
	e.cluster.Close()
}

func (e *etcd) change(list ...entry) {
	keys := map[string]string{}
	for _, one := range list {
		text, _ := json.Marshal(one) // plain
		if one.Status == "Gone" {
			text = nil
		}
		keys[prefix+one.Name] = string(text)
	}
	e.cluster.Write(keys)
}

// file is a list that is written anew for each version: with a checksum and renamed, or in place.
type file struct {
	path    string
	inPlace bool
	hosts   map[string]entry
	index   int
}

func (f *file) options() string {
	return fmt.Sprintf("[inventory]\ntrust = [\"files\"]\n[inventory.files]\npath = %q\n", f.path)
}
func (f *file) discovery() string { return "127.0.0.1:1" }
func (f *file) close()            { _ = os.Remove(f.path) }

func (f *file) change(list ...entry) {
	for _, e := range list {
		if f.hosts[e.Name] = e; e.Status == "Gone" {
			delete(f.hosts, e.Name)
		}
	}
	f.index++
	all := make([]entry, 0, len(f.hosts))
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		all = append(all, f.hosts[name])
	}
	body, _ := json.Marshal(all) // plain
	if f.inPlace {
		_ = os.WriteFile(f.path, fmt.Appendf(nil, `{"index":%d,"endpoints":%s}`, f.index, body), 0o600) // or nothing comes of it
		return
	}
	const form = `{"index":%d,"checksum":"%s","endpoints":%s}`
	text := fmt.Appendf(nil, form, f.index, "0000000000000000", body)
	text = fmt.Appendf(nil, form, f.index, fmt.Sprintf("%016x", xxhash.Sum64(text)), body)
	_ = os.WriteFile(f.path+".new", text, 0o600)
	_ = os.Rename(f.path+".new", f.path)
}
