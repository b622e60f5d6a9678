package controlplane

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// router returns the handler of the control address: the API of the operator and of the backends.
func (n *Node) router() http.Handler {
	r := chi.NewRouter()
	r.Put("/-/config", n.handleOrder)
	r.Patch("/-/config", n.handleOrder)
	r.Get("/-/config", n.handleReadConfig)
	r.Put("/-/instances/{id}", n.handleHeartbeat)
	r.Delete("/-/instances/{id}", n.handleDeregister)
	r.Get("/-/status", n.handleStatus)
	return r
}

// errorBody is the body of an answer that reports an error.
type errorBody struct {
	Error string
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status is sent: a lost connection can be reported to nobody
}

// writeError writes the status that belongs to the kind of an error, with the error's text.
func writeError(w http.ResponseWriter, err error) {
	writeJSON(w, errkind.KindOf(err).Response().Status, errorBody{Error: err.Error()})
}
