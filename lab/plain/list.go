package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Endpoint is a rater as the list has it.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Status  string `json:"status"`
	SinceMS int64  `json:"since_ms"`
}

// List follows discovery's list.
type List struct {
	mu      sync.Mutex
	address string
	known   map[string]Endpoint
	index   uint64
	ready   bool
}

// NewList makes one that is empty.
func NewList(discovery string) *List { return &List{address: discovery, known: map[string]Endpoint{}} }

// Move goes on at another address.
func (l *List) Move(discovery string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = discovery
}

// Ready tells whether the whole list has come once.
func (l *List) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// All appends what the list has to into, in no order.
func (l *List) All(into []Endpoint) []Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.known {
		into = append(into, e)
	}
	return into
}

const (
	watchFor = 5 * time.Second
	pause    = 50 * time.Millisecond // after a call that failed
)

// Follow calls discovery until ctx ends.
func (l *List) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.call(ctx); err != nil {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
}

func (l *List) call(ctx context.Context) error {
	l.mu.Lock()
	url := fmt.Sprintf("http://%s/discovery/hosts", l.address)
	if l.ready {
		url += fmt.Sprintf("?index=%d&wait=%d", l.index, watchFor.Milliseconds())
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, watchFor+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	var list struct {
		Index     uint64
		Snapshot  bool
		Endpoints []Endpoint
	}
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Snapshot {
		clear(l.known)
	}
	for _, e := range list.Endpoints {
		if e.Status == "Gone" {
			delete(l.known, e.Name)
		} else {
			l.known[e.Name] = e
		}
	}
	l.index, l.ready = list.Index, true
	return nil
}
