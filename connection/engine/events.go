package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/connection/upstream"
	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/request"
)

const (
	readBufferBytes = 2 << 10
	// maxPausedBytes bounds the size of the event that ends a paused stream. Longer events are not checked for that.
	maxPausedBytes = 64
	// drainTimeout bounds the wait for the end of a response after its [DONE] event.
	drainTimeout = 20 * time.Millisecond
	// lineMemory bounds the lines of all streams that are longer than the read buffer.
	lineMemory = 64 << 20
)

var (
	dataField    = []byte("data:")
	eventEnd     = []byte("\n\n")
	doneMarker   = []byte("[DONE]")
	pausedMarker = []byte(`"paused"`)
)

var (
	errEventTooLarge = errors.New("stream event is too large")
	errEventMemory   = errors.New("long stream events take too much memory at the moment")
)

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// readEvents passes the data of each event to onData until the stream ends.
func (c *Client) readEvents(body io.ReadCloser, onData func(data []byte, more bool) error) error {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(body)
	defer putReader(r)
	line := longLine{budget: c.lineBudget(), maxBytes: c.maxEventBytes()}
	defer line.release()
	for {
		data, err := nextData(r, &line)
		if err != nil {
			return streamError(err)
		}
		if bytes.Equal(data, doneMarker) {
			upstream.DrainBody(body, r, drainTimeout)
			return nil
		}
		if isPaused(data) {
			return errPaused
		}
		if err := onData(data, hasBufferedEvent(r)); err != nil {
			return err
		}
	}
}

func putReader(r *bufio.Reader) {
	r.Reset(nil)
	readerPool.Put(r)
}

// streamError returns the error of a stream that ended before its [DONE] event.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return request.ErrAttempt{Sent: true, Err: err}
}

var errPaused error = request.ErrPaused{}

// pausedEvent is the last event of a paused stream.
type pausedEvent struct {
	Paused bool `json:"paused"`
}

func isPaused(data []byte) bool {
	if len(data) > maxPausedBytes || !bytes.Contains(data, pausedMarker) {
		return false
	}
	var e pausedEvent
	return json.Unmarshal(data, &e) == nil && e.Paused
}

// nextData returns the value of the next "data:" line. The value is valid until the next call, which may use long again.
func nextData(r *bufio.Reader, long *longLine) ([]byte, error) {
	for {
		long.release()
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = long.read(r, line)
		}
		if err != nil {
			return nil, err
		}
		if value, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(value), nil
		}
	}
}

func (c *Client) maxEventBytes() int {
	if c.MaxEventBytes == 0 {
		return defaultMaxEventBytes
	}
	return c.MaxEventBytes
}

// lineBudget returns the memory of the long lines of all streams.
func (c *Client) lineBudget() *memory.Budget {
	c.once.Do(func() { c.lines = memory.NewBudget(lineMemory) })
	return c.lines
}

// longLine holds a line that is longer than the read buffer.
type longLine struct {
	// budget is that of all long lines, and taken what is taken from it for this one.
	budget   *memory.Budget
	taken    int64
	maxBytes int
}

// read reads the rest of a line of which start was read. The line is valid until release.
func (l *longLine) read(r *bufio.Reader, start []byte) ([]byte, error) {
	line := make([]byte, 0, len(start))
	for part, err := start, bufio.ErrBufferFull; ; part, err = r.ReadSlice('\n') {
		size := len(line) + len(part)
		if size > l.maxBytes {
			return nil, errEventTooLarge
		}
		if size > cap(line) {
			grown := max(size, 2*cap(line))
			if !l.budget.TryTake(int64(grown)-l.taken, memory.Running) {
				return nil, errEventMemory
			}
			l.taken = int64(grown)
			line = append(make([]byte, 0, grown), line...)
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// release returns the memory of the line.
func (l *longLine) release() {
	if l.taken > 0 {
		l.budget.Return(l.taken)
		l.taken = 0
	}
}

// hasBufferedEvent reports whether a complete event is buffered. It skips the first buffered byte, the line break that
// ends the event before.
func hasBufferedEvent(r *bufio.Reader) bool {
	n := r.Buffered()
	if n <= 1 {
		return false
	}
	buffered, _ := r.Peek(n)
	return bytes.Contains(buffered[1:], eventEnd)
}
