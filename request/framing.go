package request

import "net/http"

// Framing is how a response states where its body ends.
type Framing string

const (
	// FramingLength is a body with a length, or none.
	FramingLength Framing = "length"
	// FramingChunked is a body in chunks, of which the last is empty.
	FramingChunked Framing = "chunked"
	// FramingConnection is a body that ends with its connection. A part of it can't be told from the whole unless the
	// connection is reset.
	FramingConnection Framing = "connection"
)

// FramingOf returns the framing of a response that net/http has parsed.
func FramingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return FramingChunked
	case res.ContentLength >= 0, res.Request != nil && res.Request.Method == http.MethodHead:
		return FramingLength
	}
	return FramingConnection
}
