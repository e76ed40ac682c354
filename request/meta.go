// Package request holds the types of a caller's request: its parsed body and its key, its attempts at backend servers,
// and the error responses that the caller may get.
//
// A backend server is either an engine, which runs a model, or the server of a plain service. A slot is the capacity of
// a backend server to run one request.
package request

import "time"

// Meta holds the properties of a request other than its body.
type Meta struct {
	// ID is the request id, which the router assigns and returns in X-Request-Id.
	ID string
	// Key is the caller's API key; empty if it sent none. It is never logged or sent to a backend server.
	Key string
	// Class is the service class that the caller asks for; empty selects the route's default.
	Class string
	// IdempotencyKey is the caller's Idempotency-Key; empty if it sent none.
	IdempotencyKey string
	// ArrivedAt is the time of arrival.
	ArrivedAt time.Time
}
