package request

import (
	"errors"
	"net/http"
)

// ErrPaused tells that the engine paused the stream and freed its slot.
type ErrPaused struct{}

func (ErrPaused) Error() string { return "stream paused" }

// IsErrPaused tells whether err is an ErrPaused.
func IsErrPaused(err error) bool {
	var paused ErrPaused
	return errors.As(err, &paused)
}

// Attempt is one try of a completion at one backend server.
type Attempt struct {
	// ID is REQUEST.ATTEMPT, unlike that of any other attempt.
	ID string
	// Address is the backend server's IP address and port.
	Address string
	// Path is PathChat or PathCompletions.
	Path string
	// Body is the engine's body.
	Body []byte
	// Fresh asks for a new connection, so that a connection that went stale can't leave the outcome in doubt.
	Fresh bool
	// Resume asks for the rest of the stream instead of a new one.
	Resume bool
	// After is the number of chunks that a resumed stream leaves out.
	After int
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	// ID is REQUEST.ATTEMPT, unlike that of any other attempt.
	ID string
	// Address is the backend server's IP address and port; empty until a slot is granted.
	Address string
	// Route is the service's name in the path.
	Route string
	// Method is the HTTP method.
	Method string
	// Path is the unescaped and cleaned path behind the service's name, with a leading slash, by which rules go.
	Path string
	// RawPath is the same path as the caller escaped it; empty is Path.
	RawPath string
	// Query is the raw query without key parameters.
	Query string
	// Header holds the caller's headers without keys and hop-by-hop headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Idempotent calls may be repeated.
	Idempotent bool
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}
