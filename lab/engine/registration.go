package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// heartbeatTimeout bounds a heartbeat.
const heartbeatTimeout = time.Second

// Registration sends the heartbeats of one start of a backend. Its fields must not change once a heartbeat has been
// sent. It is safe for concurrent use.
type Registration struct {
	ID      string // of this start
	Backend string // name of the service
	Address string
	Zone    string
	Slots   int

	mu       sync.Mutex
	sequence int64
}

// Next returns the body of the next heartbeat.
func (r *Registration) Next(state string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body, err := json.Marshal(map[string]any{"Backend": r.Backend, "Address": r.Address, "Zone": r.Zone, "Revision": "v1",
		"Slots": r.Slots, "State": state, "Sequence": r.sequence})
	if err != nil {
		panic(err)
	}
	return body
}

// Send sends a heartbeat to the address of a control process.
func (r *Registration) Send(control, state string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/-/instances/"+r.ID, bytes.NewReader(r.Next(state)))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: heartbeatTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: status %d", response.StatusCode)
	}
	return nil
}
