package forward

import (
	"cmp"
	"errors"
	"io"

	"github.com/toucanroute/toucanroute/process/memory"
)

const (
	// freeBufferBytes is the size of a buffer that needs no share of the budget. Almost all responses and events fit.
	freeBufferBytes = 4 << 10
	// bufferGrowth is the factor by which a full buffer grows.
	bufferGrowth = 4
)

// buffer collects the body of a request or a part of a response. Beyond freeBufferBytes it takes its memory from a budget
// that all requests share, since servers in trouble may send without end to many requests at a time.
type buffer struct {
	budget *memory.Budget
	// use is what the memory is for; 0 means memory.Running.
	use memory.Use
	// maxBytes bounds the size.
	maxBytes int
	data     []byte
	// taken is the number of bytes taken from the budget.
	taken int64
}

// grow makes room for more data. It returns false at maxBytes, or if the budget is used up.
func (b *buffer) grow() bool {
	size := min(max(freeBufferBytes, bufferGrowth*cap(b.data)), b.maxBytes)
	if size <= cap(b.data) {
		return false
	}
	if size > freeBufferBytes {
		if !b.budget.TryTake(int64(size)-b.taken, cmp.Or(b.use, memory.Running)) {
			return false
		}
		b.taken = int64(size)
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}

// errBufferFull reports that a buffer couldn't grow.
var errBufferFull = errors.New("the response takes more memory than there is for it")

// append adds data to the buffer. It returns errBufferFull if there is no room.
func (b *buffer) append(data []byte) error {
	for cap(b.data)-len(b.data) < len(data) {
		if !b.grow() {
			return errBufferFull
		}
	}
	b.data = append(b.data, data...)
	return nil
}

// readAll reads r to its end. It returns errBufferFull if there is no room for the rest.
func (b *buffer) readAll(r io.Reader) error {
	for {
		if len(b.data) == cap(b.data) && !b.grow() {
			return errBufferFull
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reset empties the buffer and returns what it has taken from the budget.
func (b *buffer) reset() {
	if b.taken == 0 {
		b.data = b.data[:0]
		return
	}
	b.budget.Return(b.taken)
	b.data, b.taken = nil, 0
}
