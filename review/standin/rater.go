package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of a rater.
const (
	heartbeatEvery = 1200 * time.Millisecond
	raterSlots     = 128
)

// rater is a stand-in server of a service. A run is a stream of events or a body, and takes as long as it is told.
type rater struct {
	id, service, address, zone string
	control                    []string
	events                     int
	pause                      time.Duration
	running                    atomic.Int64
	failPercent                atomic.Int64 // percentage of requests that end with the rater's own 500
	garblePercent              atomic.Int64 // percentage of requests that are answered with bytes that are no answer
	sequence                   int64
}

// runRater serves until the process is killed.
func runRater(args []string) error {
	r := &rater{}
	flags := flag.NewFlagSet("rater", flag.ContinueOnError)
	flags.StringVar(&r.id, "id", "", "id of this start")
	flags.StringVar(&r.service, "service", "", "service")
	flags.StringVar(&r.address, "address", "", "address")
	flags.StringVar(&r.zone, "zone", "", "zone")
	control := flags.String("control", "", "addresses of control processes")
	flags.IntVar(&r.events, "events", 0, "events of a stream")
	flags.DurationVar(&r.pause, "pause", 0, "time before each event")
	if err := flags.Parse(args); err != nil {
		return err
	}
	r.control = strings.Split(*control, ",")
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	go r.heartbeats()
	return (&http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}).Serve(listener)
}

// heartbeats registers the rater, at the next node where one does not acknowledge.
func (r *rater) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for node := 0; ; time.Sleep(heartbeatEvery) {
		for range r.control {
			if r.beat(client, r.control[node%len(r.control)]) {
				break
			}
			node++
		}
	}
}

func (r *rater) beat(client *http.Client, address string) bool {
	r.sequence++
	body, err := json.Marshal(map[string]any{"Backend": r.service, "Address": r.address, "Zone": r.zone, "Revision": "v1", "Slots": raterSlots,
		"State": "ready", "WarmupLeftMs": 0, "Stage": "dual", "Models": []map[string]any{{"Name": "m", "Revision": 1, "Adapters": []string{}}},
		"Sequence": r.sequence})
	if err != nil {
		return false
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/-/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ServeHTTP serves a client's request, a health check, or the case's order to fail from now on.
func (r *rater) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if percent, found := strings.CutPrefix(request.URL.Path, "/standin/fail/"); found {
		value, _ := strconv.Atoi(percent)
		r.failPercent.Store(int64(value))
		return
	}
	if percent, found := strings.CutPrefix(request.URL.Path, "/standin/garble/"); found {
		value, _ := strconv.Atoi(percent)
		r.garblePercent.Store(int64(value))
		return
	}
	if request.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Attempt-Id")
	header := w.Header()
	header.Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	header.Set("Response-Seal", fmt.Sprintf("%s.%08x", r.id, crc32.ChecksumIEEE([]byte(r.id+id))))
	header.Set("Instance-Load", fmt.Sprintf("%d,0,%d", running, raterSlots))
	last := request.Header.Get("Last-Event-Id")
	fails := rand.Int64N(100) < r.failPercent.Load()
	fmt.Fprintf(os.Stdout, "%s %s runs %s after event %q, fails %v\n", time.Now().Format("15:04:05.000"), r.id, id, last, fails)
	if rand.Int64N(100) < r.garblePercent.Load() {
		sendGarbage(w)
		return
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "error of the rater\n")
		return
	}
	if r.events == 0 {
		_, _ = fmt.Fprintf(w, "answer of %s at %s\n", r.service, r.id)
		return
	}
	r.stream(w, request, last)
}

// stream sends the events after the last one that the request names.
func (r *rater) stream(w http.ResponseWriter, request *http.Request, last string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	begin, _ := strconv.Atoi(last)
	for event := begin + 1; event <= r.events; event++ {
		select {
		case <-time.After(r.pause):
		case <-request.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", event, event, r.events)
		_ = controller.Flush()
	}
}
