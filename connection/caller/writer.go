package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// stallPollInterval is the time between two checks whether a slowly reading caller has made progress.
	stallPollInterval = 5 * time.Millisecond
	// chunkOverheadBytes is the approximate size in bytes of the chunked framing of one write.
	chunkOverheadBytes = 8
	// maxWriteBytes bounds the size of one write and the bytes that wait for a flush. From 64 KB on, nbhttp's chunked
	// writer still uses a buffer after it has returned it to the pool, which would mix up the responses to two callers.
	maxWriteBytes = 16 << 10
)

// ErrSlowReader reports that a caller read nothing of its response for too long.
type ErrSlowReader struct {
	// PendingBytes is the number of response bytes that the caller has not read.
	PendingBytes int64
}

func (e ErrSlowReader) Error() string {
	return "caller stopped reading its response, " + strconv.FormatInt(e.PendingBytes, 10) + " bytes are pending"
}

// IsErrSlowReader reports whether err says that a caller stopped reading its response: an ErrSlowReader.
func IsErrSlowReader(err error) bool {
	var slowReader ErrSlowReader
	return errors.As(err, &slowReader)
}

var errConnectionClosed = errors.New("caller's connection is closed")

// writer writes the response to a caller. It blocks while the caller reads too slowly.
type writer struct {
	res *nbhttp.Response
	// connGuard counts the response bytes that were written to the caller's connection and those that wait for that.
	connGuard       *connGuard
	server          *Server
	responseStarted bool
	// unflushedBytes is the number of bytes written since the last flush.
	unflushedBytes int
	// unframed is the connection of a response without a length or chunks; nil for other responses.
	unframed *unframedWriter
}

// Header returns the response headers.
func (w *writer) Header() http.Header { return w.res.Header() }

// WriteHeader sets the response status. The transfer encoding "identity" stands for a response that ends with its
// connection.
func (w *writer) WriteHeader(status int) {
	w.responseStarted = true
	if w.Header().Get(headerTransferEncoding) == encodingIdentity {
		w.unframed = beginUnframed(w, status)
		return
	}
	w.res.WriteHeader(status)
}

// Write writes a part of the response body. It blocks while more than StreamBuffer bytes wait for a slow reader.
func (w *writer) Write(data []byte) (int, error) {
	w.responseStarted = true
	for rest := data; len(rest) > 0; {
		n := min(len(rest), maxWriteBytes)
		if err := w.writePart(rest[:n]); err != nil {
			return len(data) - len(rest), err
		}
		rest = rest[n:]
	}
	return len(data), nil
}

// writePart writes data, which is at most maxWriteBytes long. It first flushes if more than maxWriteBytes would wait
// for a flush otherwise, and blocks while the caller reads too slowly.
func (w *writer) writePart(data []byte) error {
	if w.connGuard.pendingBytes.Load() > w.server.StreamBufferBytes {
		w.Flush()
		if err := w.waitForReader(); err != nil {
			return err
		}
	}
	if w.unflushedBytes+len(data) > maxWriteBytes {
		w.Flush()
	}
	w.unflushedBytes += len(data) + chunkOverheadBytes
	w.connGuard.pendingBytes.Add(int64(len(data) + chunkOverheadBytes))
	if w.unframed != nil {
		return w.unframed.write(data)
	}
	_, err := w.res.Write(data)
	return err
}

// Flush sends the bytes written since the last flush.
func (w *writer) Flush() {
	w.unflushedBytes = 0
	if w.unframed != nil {
		return
	}
	w.res.Flush()
}

// waitForReader waits until the caller has read so much that at most half of StreamBuffer is pending. It closes the
// connection if the caller reads nothing for StallTimeout.
func (w *writer) waitForReader() error {
	writtenBytes := w.connGuard.writtenBytes.Load()
	deadline := time.Now().Add(w.server.StallTimeout)
	ticker := time.NewTicker(stallPollInterval)
	defer ticker.Stop()
	for range ticker.C {
		if w.connGuard.isClosed() {
			return errConnectionClosed
		}
		if w.connGuard.pendingBytes.Load() <= w.server.StreamBufferBytes/2 {
			return nil
		}
		if current := w.connGuard.writtenBytes.Load(); current != writtenBytes {
			writtenBytes = current
			deadline = time.Now().Add(w.server.StallTimeout)
		}
		if time.Now().After(deadline) {
			err := ErrSlowReader{PendingBytes: w.connGuard.pendingBytes.Load()}
			_ = w.connGuard.conn.CloseWithError(err)
			return err
		}
	}
	return nil
}

// json writes a whole response with the JSON encoding of v.
func (w *writer) json(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err = w.Write(body)
	return err
}

// writeErrorEvent sends an error as the last event of a failed stream.
func (w *writer) writeErrorEvent(data []byte) {
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(data)
	_, _ = w.Write([]byte("\n\n"))
	w.Flush()
}
