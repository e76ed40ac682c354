// Package forward is the reverse proxy: it authorizes a request by its route and key, chooses a backend server, sends
// the request there and copies the response to the caller. Method, path, body and status pass through unchanged.
//
// A request that must not run twice is not sent again after a server may have started to run it. An error response says
// that the request has not run only if no backend server can have started to run it. A server's response whose status
// says so is replaced by an error response that doesn't, unless the server states that it has not run the request.
package forward

import (
	"net/http"
	"time"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request/placement"
)

// RequestMeta holds the values that a caller sends in the headers of its request.
type RequestMeta struct {
	// ID is the request id that the caller chose for this attempt; empty if it sent none.
	ID string
	// Key is the caller's API key; empty if it sent none.
	Key string
	// CallerTimeout is the time for which the caller waits for the response; 0 if it sent none.
	CallerTimeout time.Duration
	// Prompt describes the prompt of a generation request; nil for other requests.
	Prompt *placement.Prompt
	// LastEventID is the id of the last event that the caller received of the stream; empty if it received none.
	LastEventID string
	// Resumes is the id of the request that brought the first event of the stream that the caller takes up; empty if it
	// named none.
	Resumes string
}

// UpstreamMeta holds the values that the instance adds to the headers of a request to a backend server.
type UpstreamMeta struct {
	// ServerID is the id of the server process that the request is meant for; a restarted server usually has another.
	ServerID string
	// Workspace is the workspace that owns the caller's key; empty if the route needs no key.
	Workspace string
	// RemainingTime is the time until the caller stops waiting; 0 if unknown.
	RemainingTime time.Duration
	// Rank is the request's priority at an engine, 0 being the most urgent; negative if the server is no engine.
	Rank int
	// CacheSource is the address of an engine from which the server can fetch the cached tokens of the prompt's shared
	// parts; empty if there is none.
	CacheSource string
	// LastEventID is the id of the event after which the server is to resume the stream; empty starts it from the
	// beginning.
	LastEventID string
}

// ResponseMeta holds the values that a backend server sends in the headers of its response.
type ResponseMeta struct {
	// Signed is true if the response has the server's signature. A successful response without one isn't forwarded.
	Signed bool
	// NotRun is true if the server states that it did not run the request. A status that only implies it is no statement.
	NotRun bool
	// WrongServer is true if another server responded because the intended one is no longer at its address.
	WrongServer bool
	// Load is the load that the server reports; nil if it reports none.
	Load *registry.Load
	// UnreadLoad is the text of a load report that can't be read, or only in part; otherwise empty.
	UnreadLoad string
	// Leaving is true if the server announces its shutdown.
	Leaving bool
	// CloseFor is the time for which a server that rejected the request wants no more, and RetryAfter the text in which
	// the server stated it; RetryAfter is empty if there is no such time.
	CloseFor   time.Duration
	RetryAfter string
	// Brittle is the number of requests a second that the server can turn away before it falls over; negative if it isn't
	// brittle.
	Brittle float64
	// ColdTime is the time for which the server states that it stays cold; 0 if it states none.
	ColdTime time.Duration
	// Limit is the number of requests a second that the server takes from all instances together; negative if it names
	// none.
	Limit float64
}

// Headers reads and writes the headers whose names and formats the deployment defines. All fields must be set.
type Headers struct {
	// ID is the name of the header with the request id.
	ID string
	// ReadRequest parses the headers of a caller's request.
	ReadRequest func(http.Header) (RequestMeta, error)
	// PrepareForward changes a caller's headers in place into those of the request to a backend server.
	PrepareForward func(http.Header, UpstreamMeta)
	// PrepareResume changes the headers of a caller's request for another instance so that a stream goes on after an event.
	// The id began is that of the request which brought the stream's first event.
	PrepareResume func(h http.Header, lastEventID, began string)
	// ReadResponse parses the headers of a backend server's response.
	ReadResponse func(status int, h http.Header) ResponseMeta
	// StripResponse removes the headers that are meant for the instance only from a backend server's response.
	StripResponse func(http.Header)
}
