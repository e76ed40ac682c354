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
	// stallPoll is how often a held-up stream looks whether its reader has taken something.
	stallPoll = 5 * time.Millisecond
	// chunkOverhead is a rough size of the framing of one write.
	chunkOverhead = 8
	// maxPiece bounds what is written at once, and what waits for a flush. From 64 KB on, nbhttp's chunked writer
	// goes on using a buffer that it has given back to the pool, and answers of two callers would mix.
	maxPiece = 16 << 10
)

// ErrSlowReader tells that a caller took nothing of its answer for too long.
type ErrSlowReader struct {
	// Pending is the number of bytes that it has yet to take.
	Pending int64
}

func (e ErrSlowReader) Error() string {
	return "caller takes nothing of its answer, " + strconv.FormatInt(e.Pending, 10) + " bytes wait"
}

// IsErrSlowReader tells whether err is an ErrSlowReader.
func IsErrSlowReader(err error) bool {
	var slow ErrSlowReader
	return errors.As(err, &slow)
}

// errGone tells that the connection is closed.
var errGone = errors.New("connection of the caller is closed")

// writer writes an answer to a caller and holds up a stream whose reader is slow.
type writer struct {
	res    *nbhttp.Response
	guard  *guard
	server *Server
	begun  bool
	// unflushed is the number of bytes that were written since the last flush.
	unflushed int
}

// Header returns the answer's headers.
func (w *writer) Header() http.Header { return w.res.Header() }

// WriteHeader sets the answer's status.
func (w *writer) WriteHeader(status int) {
	w.begun = true
	w.res.WriteHeader(status)
}

// Write adds to the answer; it waits while too much is on its way to a slow reader.
func (w *writer) Write(data []byte) (int, error) {
	w.begun = true
	for rest := data; len(rest) > 0; {
		n := min(len(rest), maxPiece)
		if err := w.writePiece(rest[:n]); err != nil {
			return len(data) - len(rest), err
		}
		rest = rest[n:]
	}
	return len(data), nil
}

func (w *writer) writePiece(data []byte) error {
	if w.guard.pending.Load() > w.server.StreamBuffer {
		w.Flush()
		if err := w.waitForReader(); err != nil {
			return err
		}
	}
	if w.unflushed+len(data) > maxPiece {
		w.Flush()
	}
	w.unflushed += len(data) + chunkOverhead
	w.guard.pending.Add(int64(len(data) + chunkOverhead))
	_, err := w.res.Write(data)
	return err
}

// Flush sends what was written.
func (w *writer) Flush() {
	w.unflushed = 0
	w.res.Flush()
}

func (w *writer) waitForReader() error {
	taken := w.guard.taken.Load()
	limit := time.Now().Add(w.server.StallTimeout)
	t := time.NewTicker(stallPoll)
	defer t.Stop()
	for range t.C {
		if w.guard.isClosed() {
			return errGone
		}
		if w.guard.pending.Load() <= w.server.StreamBuffer/2 {
			return nil
		}
		if now := w.guard.taken.Load(); now != taken {
			taken = now
			limit = time.Now().Add(w.server.StallTimeout)
		}
		if time.Now().After(limit) {
			err := ErrSlowReader{Pending: w.guard.pending.Load()}
			_ = w.guard.conn.CloseWithError(err)
			return err
		}
	}
	return nil
}

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

// event sends the last event of a stream that has failed.
func (w *writer) event(data []byte) {
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(data)
	_, _ = w.Write([]byte("\n\n"))
	w.Flush()
}
