package agent

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"linenwheel.dev/linenwheel/internal/clock"
)

// Times of the calls, in milliseconds.
const (
	maxWait       = 60e3 // that a call may ask for
	rereadTimeout = 5e3  // for the list to be read anew
)

// Server answers nodes.
type Server struct {
	Store         *Store
	Clock         clock.Clock
	RequestReread func() // has the source read its list anew; Store.MarkReread is to follow
}

// Handler answers `/discovery/hosts` in the form of discovery, and `/status`. Beyond that form, the query may have `epoch`,
// the numbering that `index` is of, and `look=1`, for a list that is read anew.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", s.hosts)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Store.State(s.Clock.Now())) // the caller has gone
	})
	return mux
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	epoch, look := query.Get("epoch"), query.Get("look") == "1"
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
	whole := !query.Has("index") || look
	switch {
	case look:
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
	_, _ = w.Write(text) // the caller has gone
}

// wait returns when there is something to tell, or after so many milliseconds.
func (s *Server) wait(r *http.Request, epoch string, index uint64, ms float64) {
	news, ready := s.Store.Updated(epoch, index)
	if ready || ms <= 0 {
		return
	}
	over := make(chan struct{})
	defer s.Clock.At(s.Clock.Now()+ms, func() { close(over) })()
	select {
	case <-news:
	case <-over:
	case <-r.Context().Done():
	}
}

// reread has the list read anew.
func (s *Server) reread(r *http.Request) bool {
	before, _ := s.Store.Rereads()
	s.RequestReread()
	over := make(chan struct{})
	defer s.Clock.At(s.Clock.Now()+rereadTimeout, func() { close(over) })()
	for {
		looks, news := s.Store.Rereads()
		if looks > before {
			return true
		}
		select {
		case <-news:
		case <-over:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}
