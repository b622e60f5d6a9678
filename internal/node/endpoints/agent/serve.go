package agent

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"linenwheel.dev/linenwheel/internal/clock"
)

// Limits of calls, in milliseconds.
const (
	maxWait       = 60e3 // longest wait that a call may request
	rereadTimeout = 5e3  // for a requested re-read of the list
)

// Server serves the list to nodes.
type Server struct {
	Store         *Store
	Clock         clock.Clock
	RequestReread func() // makes the source read its list again; a call of Store.MarkReread must follow
}

// Handler serves `/discovery/hosts` in the format of discovery, and `/status`. As an extension, the query may have
// `epoch`, the numbering that `index` belongs to, and `look=1`, which requests a list that is read again for this
// call.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", s.hosts)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Store.State(s.Clock.Now())) // fails only if the client has disconnected
	})
	return mux
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	epoch, reread := query.Get("epoch"), query.Get("look") == "1"
	index, wait := uint64(0), 0.0
	if err == nil && query.Has("index") {
		index, err = strconv.ParseUint(query.Get("index"), 10, 64)
	}
	if err == nil && query.Has("wait") {
		wait, err = strconv.ParseFloat(query.Get("wait"), 64)
	}
	if err != nil || !(wait >= 0) {
		http.Error(w, "index and wait must be numbers", http.StatusBadRequest)
		return
	}
	whole := !query.Has("index") || reread
	switch {
	case reread:
		if !s.reread(r) {
			http.Error(w, "the list could not be read anew in time", http.StatusServiceUnavailable)
			return
		}
	case !whole:
		s.wait(r, epoch, index, min(wait, maxWait))
	}
	text, ok := s.Store.Response(s.Clock.Now(), epoch, index, whole)
	if !ok {
		http.Error(w, "there is no list yet: "+s.Store.State(s.Clock.Now()).Reason, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // fails only if the client has disconnected
}

// wait returns when there is an update for the caller, after ms milliseconds, or when the request is cancelled.
func (s *Server) wait(r *http.Request, epoch string, index uint64, ms float64) {
	updated, ready := s.Store.Updated(epoch, index)
	if ready || ms <= 0 {
		return
	}
	timeout := make(chan struct{})
	defer s.Clock.At(s.Clock.Now()+ms, func() { close(timeout) })()
	select {
	case <-updated:
	case <-timeout:
	case <-r.Context().Done():
	}
}

// reread requests a re-read of the list and reports whether it was completed in time.
func (s *Server) reread(r *http.Request) bool {
	before, _ := s.Store.Rereads()
	s.RequestReread()
	timeout := make(chan struct{})
	defer s.Clock.At(s.Clock.Now()+rereadTimeout, func() { close(timeout) })()
	for {
		rereads, updated := s.Store.Rereads()
		if rereads > before {
			return true
		}
		select {
		case <-updated:
		case <-timeout:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}
