package request

import (
	"errors"
	"net/http"
)

// ErrPaused means that the engine paused the stream and freed its slot.
type ErrPaused struct{}

func (ErrPaused) Error() string { return "stream paused" }

// IsErrPaused reports whether err, or an error that it wraps, says that the engine paused the stream.
func IsErrPaused(err error) bool {
	var paused ErrPaused
	return errors.As(err, &paused)
}

// Attempt is one attempt to run a completion at one backend server.
type Attempt struct {
	// ID is the request id, a dot and the number of the attempt. It is unique.
	ID string
	// Address is the backend server's IP address and port.
	Address string
	// Path is PathChat or PathCompletions.
	Path string
	// Body is the body of the request to the engine.
	Body []byte
	// NewConnection requires a new connection: if a reused connection is closed by the engine at the same moment, it is
	// unknown whether the request has run.
	NewConnection bool
	// Resume requests the rest of the stream instead of a new one.
	Resume bool
	// SkipChunks is the number of chunks (events of the engine's stream) that were already received and are to be left
	// out of a resumed stream.
	SkipChunks int
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	// ID is the request id, a dot and the number of the attempt. It is unique.
	ID string
	// Address is the backend server's IP address and port; empty until a slot is granted.
	Address string
	// Route is the service's name as in the path.
	Route string
	// Method is the HTTP method.
	Method string
	// Path is the unescaped and cleaned path after the service's name, with a leading slash. Rules are matched against
	// it.
	Path string
	// RawPath is the same path as escaped by the caller; empty if it equals Path.
	RawPath string
	// Query is the raw query without parameters that contain a key.
	Query string
	// Header holds the caller's headers without the key and without hop-by-hop headers.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Idempotent is true if the call may run more than once.
	Idempotent bool
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the body. Whether it is complete isn't certain if Framing is FramingConnection.
	Body []byte
	// Framing is how the service stated where the body ends.
	Framing Framing
	// Release returns the memory of the body to the client that read it. It must be called once when Body isn't used any
	// more; nil means that there is nothing to return.
	Release func()
}
