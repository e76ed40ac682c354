// Package forward runs one forwarded request: from its route and key, over the choice of backend servers, to its final
// answer. Methods, paths, bodies, statuses and answers pass unchanged.
//
// A request that may run at most once is sent once. An answer that says that a request hasn't run is only given where no
// backend server can have begun with it.
package forward

import (
	"net/http"
	"time"

	"github.com/toucanroute/toucanroute/process/roster"
	"github.com/toucanroute/toucanroute/request/place"
)

// Ask is what a caller's headers say of its request.
type Ask struct {
	// ID names this attempt of the caller; empty is none.
	ID string
	// Key is the caller's key; empty is none.
	Key string
	// Patience is the time that the caller waits; 0 is not told.
	Patience time.Duration
	// Prompt is nil where the request names no prompt.
	Prompt *place.Prompt
	// LastEvent is the id of the last event that the caller has of the stream; empty is none.
	LastEvent string
}

// Sending is what the instance tells a backend server with a request.
type Sending struct {
	// Server is the run of the server that the request is meant for.
	Server string
	// Workspace is the owner of the caller's key; empty is none.
	Workspace string
	// Remaining is the time until the caller leaves; 0 is not known.
	Remaining time.Duration
	// Rank is the request's urgency at an engine; negative is none.
	Rank int
	// FetchFrom is the address of an engine that keeps the prompt's shared parts; empty is none.
	FetchFrom string
	// LastEvent is the id of the event after which a stream goes on; empty is from the start.
	LastEvent string
}

// Mark is what the headers of a backend server's answer say.
type Mark struct {
	// Signed tells that the answer bears the server's signature.
	Signed bool
	// NotRun tells that the server didn't run the request.
	NotRun bool
	// Elsewhere tells that another server answered: the one that the request is meant for isn't at its address any more.
	Elsewhere bool
	// Load is nil where the server doesn't tell it.
	Load *roster.Load
}

// Headers reads and writes the headers whose names the deployment defines. All fields are set.
type Headers struct {
	// ID is the header that carries a request's id.
	ID string
	// Read reads a caller's headers.
	Read func(http.Header) (Ask, error)
	// Prepare turns a caller's headers into those for a backend server.
	Prepare func(http.Header, Sending)
	// Mark reads the headers of an answer.
	Mark func(status int, h http.Header) Mark
	// Strip removes from an answer what concerns only the instance and its backend servers.
	Strip func(http.Header)
}
