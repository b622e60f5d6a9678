package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkCall sends one call after the other through a whole node on loopback. Client, node and backend share
// the process, so the allocations are those of all three; the client and the backend allocate nothing.
func BenchmarkCall(b *testing.B) { benchmarkCalls(b, nil, 0) }

// BenchmarkRepeats is the same through a node that detects repeated requests, for each way to store them and two
// fractions of repeats among the calls. Every new call has a key of its own.
func BenchmarkRepeats(b *testing.B) {
	for _, keep := range []string{"off", "memory", "journal", "recorded"} {
		for _, part := range []float64{0.001, 0.3} {
			b.Run(fmt.Sprintf("%s, %g%% repeats", keep, 100*part), func(b *testing.B) {
				o := idempotentOptions()
				o.Repeats.On = keep != "off"
				o.Repeats.Entries, o.Repeats.Bytes.Bytes = 200_000, 16<<20
				if keep == "journal" || keep == "recorded" {
					dir := b.TempDir()
					o.Repeats.Journal, o.Repeats.SecretFile = filepath.Join(dir, "journal"), filepath.Join(dir, "secret")
					require.NoError(b, os.Mkdir(o.Repeats.Journal, 0o700))
					require.NoError(b, os.WriteFile(o.Repeats.SecretFile, []byte("0123456789abcdef"), 0o600))
					o.Repeats.Classes[0].Recorded = keep == "recorded"
				}
				benchmarkCalls(b, &o, part)
			})
		}
	}
}

// benchmarkCalls sends calls, a fraction of which repeat the one before; a header carries their key.
func benchmarkCalls(b *testing.B, o *Options, repeats float64) {
	backend := answering(b, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	agent := answering(b, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": agent, "seed": "1",
		"limits": map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(settings),
		"known": map[string]any{"index": 0, "endpoints": []any{map[string]any{"name": "h1", "address": backend, "zone": "z",
			"type": "k", "status": "Ready", "weight": 1}}}})
	require.NoError(b, err)
	path := filepath.Join(b.TempDir(), "config.json")
	require.NoError(b, os.WriteFile(path, text, 0o600))
	conf, err := Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	require.NoError(b, err)
	n, err := New(conf, Extras{Options: o, Log: slog.New(slog.DiscardHandler)})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = n.Run(ctx); close(ended) }()
	client, err := net.Dial("tcp", n.loop.Addr())
	require.NoError(b, err)
	const head = "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Owner: t\r\nReq-Deadline-Ms: 900\r\n"
	ask := []byte(head + "Content-Length: 5\r\n\r\nhello")
	if o != nil {
		ask = []byte(head + "Charge: 00000000\r\nContent-Length: 5\r\n\r\nhello")
	}
	name := ask[len(head)+len("Charge: "):]
	buf, calls, owed := make([]byte, 1024), 0, 0.0
	call := func() int {
		if owed += repeats; owed >= 1 {
			owed--
		} else if calls++; o != nil {
			for i, v := 7, calls; i >= 0; i, v = i-1, v/10 {
				name[i] = '0' + byte(v%10)
			}
		}
		if _, err := client.Write(ask); err != nil {
			b.Fatal(err)
		}
		got, err := client.Read(buf)
		if err != nil {
			b.Fatal(err)
		}
		return got
	}
	for range 100 {
		require.True(b, strings.HasPrefix(string(buf[:call()]), "HTTP/1.1 200"), string(buf))
	}
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	_ = client.Close()
	cancel()
	<-ended
}

// answering listens and sends the same response to each request, which has a body of 5 bytes or none.
func answering(b *testing.B, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for out := []byte(answer); ; {
					body := false
					for {
						line, err := r.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(line) == 2 {
							break
						}
						body = body || strings.HasPrefix(string(line), "Content-Length")
					}
					if body {
						if _, err := io.CopyN(io.Discard, r, 5); err != nil {
							return
						}
					}
					if _, err := c.Write(out); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
