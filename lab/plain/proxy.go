package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Proxy is the plain proxy.
type Proxy struct {
	list *List
	via  *http.Transport

	mu   sync.Mutex
	held map[string]int
}

// New makes a proxy that follows a list.
func New(list *List) *Proxy {
	return &Proxy{list: list, held: map[string]int{}, via: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second,
		DisableCompression: true}}
}

const (
	mostTries  = 3
	usualLimit = 5 * time.Second
)

// ServeHTTP sends a request to the rater that holds least, and if that fails to the next.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		if !p.list.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	limit := usualLimit
	if ms, err := strconv.Atoi(r.Header.Get("Req-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	tried := map[string]bool{}
	status := http.StatusServiceUnavailable
	for range mostTries {
		e, ok := p.pick(tried)
		if !ok {
			break
		}
		tried[e.Name] = true
		answer, err := p.send(ctx, r, e, body)
		if err != nil {
			status = http.StatusBadGateway
			continue
		}
		if answer.StatusCode == http.StatusServiceUnavailable {
			status = answer.StatusCode
			continue
		}
		w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
		w.WriteHeader(answer.StatusCode)
		_, _ = w.Write(answer.body)
		return
	}
	http.Error(w, "no rater has answered", status)
}

func (p *Proxy) pick(tried map[string]bool) (best Endpoint, ok bool) {
	all := p.list.All(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range all {
		if e.Status == "Ready" && !tried[e.Name] && (!ok || p.held[e.Name] < p.held[best.Name]) {
			best, ok = e, true
		}
	}
	if ok {
		p.held[best.Name]++
	}
	return best, ok
}

type answer struct {
	*http.Response
	body []byte
}

func (p *Proxy) send(ctx context.Context, r *http.Request, e Endpoint, body []byte) (answer, error) {
	defer func() {
		p.mu.Lock()
		p.held[e.Name]--
		p.mu.Unlock()
	}()
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	out.Header = r.Header.Clone()
	out.Header.Del("Connection")
	got, err := p.via.RoundTrip(out)
	if err != nil {
		return answer{}, err
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	return answer{got, text}, err
}

// Serve runs the plain proxy as the platform starts nodes, until SIGTERM.
func Serve(ctx context.Context, getenv func(string) string) error {
	conf, err := Load(getenv)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	list := NewList(conf.Discovery)
	go list.Follow(ctx)
	go func() {
		for range again {
			if conf, err := Load(getenv); err == nil {
				list.Move(conf.Discovery)
			}
		}
	}()
	server := &http.Server{Addr: conf.Listen, Handler: New(list), ReadHeaderTimeout: 2 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	over, cancel := context.WithTimeout(context.WithoutCancel(ctx), usualLimit)
	defer cancel()
	if err := server.Shutdown(over); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
