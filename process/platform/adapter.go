package platform

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Exchange describes one HTTP call to a platform that uses other paths and message formats than the clients of this
// package. Packages that adapt such a platform send their calls as exchanges, so that their calls return the errors of
// this package and callers can handle all platforms alike.
type Exchange struct {
	// Name is the name of the call in metrics and errors.
	Name   string
	Method string
	// Path includes the query, if any.
	Path   string
	Header http.Header
	// Body is sent as JSON; nil means no body.
	Body any
	// Wait is the time for which the platform may delay the response, in addition to the client's timeout.
	Wait time.Duration
	// Guard, if not nil, is called immediately before each write to the socket; the call then uses a connection of its
	// own.
	Guard func() error
}

// Response is the response to an Exchange.
type Response struct {
	Status int
	Body   []byte
	call   call
	header http.Header
}

// Exchange sends the call once. It returns ErrUnavailable if the call has no effect, and ErrUnknownOutcome if a write
// may have taken effect.
func (c *Client) Exchange(ctx context.Context, e Exchange) (Response, error) {
	spec := call{name: e.Name, method: e.Method, path: e.Path, header: e.Header, body: e.Body, wait: e.Wait}
	if e.Guard != nil {
		transport := GuardedTransport(c.timeout(), e.Guard)
		defer transport.CloseIdleConnections()
		spec.transport = transport
	}
	response, err := c.do(ctx, spec)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: response.status, Body: response.body, call: spec, header: response.header}, nil
}

// Err returns the error for a status that has no special meaning for the call, or nil for 2xx.
func (r Response) Err() error {
	return statusError(r.call, rawResponse{status: r.Status, header: r.header, body: r.Body})
}

// Header returns the value of a header of the response; empty if there is none.
func (r Response) Header(name string) string { return r.header.Get(name) }

// Failed returns the error of a call whose response can't be used: the outcome of a write is unknown then.
func (r Response) Failed(cause error) error { return callError(r.call, cause) }

// Decode decodes the JSON body of the response.
func (r Response) Decode(v any) error {
	return decode(r.call, rawResponse{status: r.Status, body: r.Body}, v)
}

// keepaliveInterval is the interval of the TCP keepalive probes on a silent connection, the smallest that the system
// allows.
const keepaliveInterval = time.Second

// KeepaliveDialer returns a dialer whose connections are closed when their peer acknowledges nothing for the duration
// silenceTimeout, also while a response is pending. Without that, a connection to a peer that has lost its power or its
// network path would stay open, since such a peer sends no error. The parameter dialTimeout bounds the time to connect.
func KeepaliveDialer(dialTimeout, silenceTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepaliveInterval, Interval: keepaliveInterval, Count: 1},
		Control:         func(_, _ string, c syscall.RawConn) error { return SetTCPUserTimeout(c, silenceTimeout) },
	}
}

// KeepaliveTransport returns a transport that dials with a KeepaliveDialer.
func KeepaliveTransport(dialTimeout, silenceTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: checkedDial(KeepaliveDialer(dialTimeout, silenceTimeout)), MaxIdleConnsPerHost: DefaultConcurrency, IdleConnTimeout: time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
