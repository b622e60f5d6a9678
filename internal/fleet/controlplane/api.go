package controlplane

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// router returns the HTTP handler of the control address, which serves the API for the operator and the backends.
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

// errorBody is the body of an error response.
type errorBody struct {
	Error string
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status has been sent, so an error can no longer be reported to the client
}

// writeError writes a response with the status for the error's kind and with the error's text.
func writeError(w http.ResponseWriter, err error) {
	writeJSON(w, errkind.KindOf(err).Response().Status, errorBody{Error: err.Error()})
}
