package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// What idle plays: so many connections are used, rest for a time about the node's limit, and are used again. Each way
// between client and node takes a while, so that a close and a request can cross.
const (
	idleTries = 200
	idleLanes = 25
	idleWay   = 20 * time.Millisecond
	idleLimit = 2050 // of the node, milliseconds; its sweep may add 100
)

// idle counts how a client's second request on a connection ends that the node closes about then.
func idle(clients []client) error {
	var mu sync.Mutex
	ran := map[string]int{}
	behind, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		ran[r.Header.Get("Req-Id")]++
		mu.Unlock()
		_, _ = w.Write([]byte("ok"))
	})}
	go func() { _ = server.Serve(behind) }()
	defer func() { _ = server.Close() }()
	address, stop, err := startNode(behind.Addr().String(), nil)
	if err != nil {
		return err
	}
	defer stop()
	far, err := delayed(address, idleWay)
	if err != nil {
		return err
	}
	defer func() { _ = far.Close() }()
	fmt.Println("| client | request | same connection | new one | failed | ran twice |\n| --- | --- | --- | --- | --- | --- |")
	for _, c := range clients {
		for _, path := range []string{"/pay/1", "/alert/1"} {
			first := good("GET", "/up", nil)
			if _, ok := c.can(first); !ok || c.name() == "curl" || c.name() == "pipelined" {
				continue // they keep no connection for so long
			}
			same, fresh, failed, faults := 0, 0, 0, map[string]int{}
			var lanes sync.WaitGroup
			tries := make(chan ask)
			for range idleLanes {
				lanes.Go(func() {
					for second := range tries {
						answers, err := c.do(far.Addr().String(), []ask{first, second})
						mu.Lock()
						switch {
						case err != nil:
							failed++
							text := err.Error()
							faults[text[strings.LastIndex(text, ": ")+1:]]++
						case answers[1].Reused:
							same++
						default:
							fresh++
						}
						mu.Unlock()
					}
				})
			}
			for range idleTries {
				second := good("POST", path, []byte("hello"))
				second.Pause = idleLimit + int(2*idleWay/time.Millisecond) + rand.IntN(160) - 80
				tries <- second
			}
			close(tries)
			lanes.Wait()
			twice := 0
			for _, n := range ran {
				if n > 1 {
					twice++
				}
			}
			fmt.Printf("| %s | %s | %d | %d | %d %v | %d |\n", c.name(), path, same, fresh, failed, faults, twice)
		}
	}
	return nil
}

// delayed listens and passes bytes and ends on to an address and back, each a while later.
func delayed(to string, way time.Duration) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go pipe(near.(*net.TCPConn), far.(*net.TCPConn), way)
			go pipe(far.(*net.TCPConn), near.(*net.TCPConn), way)
		}
	}()
	return l, nil
}

// pipe passes on one direction: an orderly end as one, a reset as one.
func pipe(from, to *net.TCPConn, way time.Duration) {
	for {
		buf := make([]byte, 4096)
		n, err := from.Read(buf)
		time.AfterFunc(way, func() { // at these rates one is over before the next is due
			if n > 0 {
				if _, bad := to.Write(buf[:n]); bad != nil {
					_ = from.SetLinger(0)
					_ = from.Close()
				}
			}
			switch {
			case err == nil:
			case errors.Is(err, io.EOF):
				_ = to.CloseWrite()
			default:
				_ = to.SetLinger(0)
				_ = to.Close()
			}
		})
		if err != nil {
			return
		}
	}
}
