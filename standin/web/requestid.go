package web

import "net/http"

// headerRequestID carries the id of a request and, in the answer, its echo.
const headerRequestID = "X-Request-Id"

// EchoRequestID sets the request's id in the answer, so that the caller knows whose answer it is.
func EchoRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
}
