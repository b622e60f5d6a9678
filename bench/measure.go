package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// traffic is what a proxy is measured under.
type traffic struct {
	name        string
	connections int
	burst       int // requests written at once on a connection
	body        int // bytes of a request's, and of its answer's
	get         bool
	counted     bool // its counts are the same each time, so they can be kept
}

var cases = []traffic{
	{name: "small", connections: 1, burst: 1, body: 100, counted: true},
	{name: "get", connections: 1, burst: 1, get: true, counted: true},
	{name: "64 KiB", connections: 1, burst: 1, body: 64 << 10},
	{name: "pipelined by 8", connections: 1, burst: 8, body: 100},
	{name: "small, 64 connections", connections: 64, burst: 1, body: 100},
	{name: "small, 1,000 connections", connections: 1000, burst: 1, body: 100},
}

const (
	raterCount = 10
	warmUp     = 10 // bursts on each connection before anything is counted
	allWithin  = 60 * time.Second
)

// measure plays a case against a proxy in a process of its own and gives what that used for the requests.
func measure(kind string, c *traffic, requests int) (Counts, error) {
	addresses, stop, err := raters(c)
	if err != nil {
		return Counts{}, err
	}
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return Counts{}, err
	}
	child := exec.Command(self, "-serve", kind, "-raters", strings.Join(addresses, ","))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	if err != nil {
		return Counts{}, err
	}
	out, err := child.StdoutPipe()
	if err != nil {
		return Counts{}, err
	}
	if err := child.Start(); err != nil {
		return Counts{}, err
	}
	defer func() {
		_ = in.Close()
		_ = child.Wait() // it ends with its input
	}()
	lines := bufio.NewReader(out)
	address, err := lines.ReadString('\n')
	if err != nil {
		return Counts{}, fmt.Errorf("the proxy has not started: %w", err)
	}
	ask := func() (n Counts, err error) {
		if _, err := io.WriteString(in, "count\n"); err != nil {
			return n, err
		}
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return n, err
		}
		return n, json.Unmarshal(line, &n)
	}
	clients, err := dial(strings.TrimSpace(address), c)
	if err != nil {
		return Counts{}, err
	}
	defer clients.close()
	if err := clients.play(warmUp * c.connections * c.burst); err != nil {
		return Counts{}, err
	}
	before, err := ask()
	if err != nil {
		return Counts{}, err
	}
	if err := clients.play(requests); err != nil {
		return Counts{}, err
	}
	after, err := ask()
	return after.less(before), err
}

// clients are connections with what each writes; they allocate nothing while they play.
type clients struct {
	c     *traffic
	conns []net.Conn
	asks  [][]byte
}

func dial(address string, c *traffic) (*clients, error) {
	cl := &clients{c: c}
	for i := range c.connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			cl.close()
			return nil, err
		}
		cl.conns = append(cl.conns, conn)
		if err := conn.SetDeadline(time.Now().Add(allWithin)); err != nil {
			cl.close()
			return nil, err
		}
		var ask bytes.Buffer
		for k := range c.burst {
			line := "POST /charge"
			if c.get {
				line = "GET /look"
			}
			fmt.Fprintf(&ask, "%s HTTP/1.1\r\nHost: n\r\nReq-Id: %016x\r\nReq-Owner: t\r\nReq-Deadline-Ms: 4000\r\n", line, i*c.burst+k+1)
			if !c.get {
				fmt.Fprintf(&ask, "Content-Length: %d\r\n", c.body)
			}
			ask.WriteString("\r\n")
			ask.Write(bytes.Repeat([]byte{'b'}, c.body))
		}
		cl.asks = append(cl.asks, ask.Bytes())
	}
	return cl, nil
}

func (cl *clients) close() {
	for _, c := range cl.conns {
		_ = c.Close()
	}
}

// play sends so many requests over all connections, each of which waits for its answers before it sends more.
func (cl *clients) play(requests int) error {
	var work sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(requests / cl.c.burst))
	errs := make(chan error, len(cl.conns))
	for i := range cl.conns {
		work.Go(func() {
			in := bufio.NewReaderSize(cl.conns[i], 16<<10)
			for left.Add(-1) >= 0 {
				if _, err := cl.conns[i].Write(cl.asks[i]); err != nil {
					errs <- err
					return
				}
				for range cl.c.burst {
					if err := answer(in); err != nil {
						errs <- err
						return
					}
				}
			}
		})
	}
	work.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// answer reads one answer, which must be a good one.
func answer(in *bufio.Reader) error {
	length, err := message(in, "HTTP/1.1 200")
	if err != nil {
		return err
	}
	_, err = in.Discard(length)
	return err
}

// message reads a head and gives the length of its body.
func message(in *bufio.Reader, begin string) (length int, err error) {
	for first := true; ; first = false {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if first && !bytes.HasPrefix(line, []byte(begin)) {
			return 0, fmt.Errorf("not what was expected: %q", line)
		}
		if len(line) <= 2 {
			return length, nil
		}
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte("Content-Length")) {
			length = 0
			for _, d := range bytes.TrimSpace(value) {
				length = 10*length + int(d-'0')
			}
		}
	}
}

// raters answer at once with as much as they were sent.
func raters(c *traffic) (addresses []string, stop func(), err error) {
	var listeners []net.Listener
	stop = func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	reply := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", c.body), bytes.Repeat([]byte{'a'}, c.body)...)
	for range raterCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					in := bufio.NewReaderSize(conn, 128<<10)
					for {
						length, err := message(in, "")
						if err != nil {
							return
						}
						if _, err := in.Discard(length); err != nil {
							return
						}
						if _, err := conn.Write(reply); err != nil {
							return
						}
					}
				}()
			}
		}()
	}
	return addresses, stop, nil
}
