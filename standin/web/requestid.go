package web

import "net/http"

// headerRequestID is the header with the id of a request, which the response repeats.
const headerRequestID = "X-Request-Id"

// EchoRequestID copies the request's id to the response header, so that the caller can check to which request the
// response belongs.
func EchoRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
}
