// Package fleetscale measures how the control plane grows with the fleet: real control processes on loopback, before them
// hollow nodes of the data plane (the real copy and the real long poll, without traffic) and hollow raters (real
// heartbeats), many to a process.
package fleetscale

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// The figures of hollow nodes are those of the data plane.
const (
	pollHold  = 700 * time.Millisecond
	pollGrace = 2 * time.Second // more than a node's: with all of them in one process, answers wait for it
	pollPause = 50 * time.Millisecond
	revoke    = 5 * time.Second
)

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.bytes.Add(int64(n))
	return n, err
}

// hollowNode is a node of the data plane without traffic.
type hollowNode struct {
	name    string
	session uint64
	control []string
	pool    *transport.Pool
	begin   time.Time
	inForce func(revision int64, at time.Time)

	mu    sync.Mutex
	copy  *distribution.Copy
	first int // the place in control that is asked first
}

func newHollowNode(name string, control []string, place int, total *atomic.Int64, inForce func(int64, time.Time)) *hollowNode {
	pool := transport.NewPool()
	pool.Wrap = func(c net.Conn) net.Conn { return counted{c, total} }
	return &hollowNode{name: name, session: rand.Uint64()>>1 + 1, control: control, pool: pool, begin: time.Now(), inForce: inForce,
		copy: distribution.NewCopy(true, revoke), first: place % len(control)}
}

func (n *hollowNode) run(ctx context.Context) {
	defer n.close()
	for place := n.first; ctx.Err() == nil; {
		if err := n.poll(n.control[place%len(n.control)]); err != nil {
			place++
			time.Sleep(time.Duration(rand.Int64N(int64(pollPause))))
		}
	}
}

func (n *hollowNode) close() {
	for _, address := range n.control {
		n.pool.Forget(address)
	}
}

func (n *hollowNode) poll(address string) error {
	n.mu.Lock()
	hold := pollHold
	if !n.copy.Confirmed() {
		hold = 0
	}
	asked := n.copy
	request := asked.Request(n.name, n.session, hold)
	n.mu.Unlock()
	sent := time.Since(n.begin)
	var reply distribution.PollReply
	if err := n.pool.Call(address, distribution.MethodPoll, &request, &reply, hold+pollGrace); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	change, err := asked.Take(sent, &reply)
	if err != nil {
		return err
	}
	if change.Config {
		n.inForce(asked.Table().Revision, time.Now())
	}
	if reply.Leaving || !reply.Confirmed {
		return fmt.Errorf("%s is not confirmed", address)
	}
	return nil
}

// renew makes the node forget everything, as after a restart.
func (n *hollowNode) renew() {
	n.mu.Lock()
	n.copy = distribution.NewCopy(true, revoke)
	n.session = rand.Uint64()>>1 + 1
	n.mu.Unlock()
	n.close()
}

func (n *hollowNode) raters() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.copy.Raters())
}

// hollowRaters sends the heartbeats of many raters, spread over the interval.
func hollowRaters(ctx context.Context, control []string, count int, interval time.Duration) {
	workers := max(1, min(count/50+1, 64))
	for worker := range workers {
		go func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			var mine []int
			for i := worker; i < count; i += workers {
				mine = append(mine, i)
			}
			for sequence := int64(1); ctx.Err() == nil; sequence++ {
				for _, rater := range mine {
					begin := time.Now()
					beat(ctx, client, control[(rater+int(sequence))%len(control)], rater, sequence)
					time.Sleep(max(0, interval/time.Duration(len(mine))-time.Since(begin)))
				}
				if len(mine) == 0 {
					return
				}
			}
		}()
	}
}

func beat(ctx context.Context, client *http.Client, control string, rater int, sequence int64) {
	body := fmt.Sprintf(`{"Backend":"llm","Address":"10.%d.%d.%d:8080","Zone":"z%d","Revision":"v1","Slots":64,"State":"ready","Sequence":%d}`,
		rater>>16, rater>>8&255, rater&255, rater%13, sequence)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/-/instances/i-%08x", control, rater), bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// heapOf is the heap of this process after a collection.
func heapOf() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
