// Package request holds what is known of one request of a caller: the parsed body, the key that came with it,
// and the errors that end it.
package request

import "time"

// Meta is what each request carries besides its body.
type Meta struct {
	// ID is the request's id, given by the router and sent back in X-Request-Id.
	ID string
	// Key is the caller's key; empty is none. It never goes to a backend server or into a log.
	Key string
	// Class is the class that the caller asks for; empty leaves it to the route.
	Class string
	// IdempotencyKey is the caller's Idempotency-Key; empty is none.
	IdempotencyKey string
	// Arrived is the time of arrival.
	Arrived time.Time
}
