package memory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

// readChunkBytes is the size of the pieces in which ReadAll keeps a body. For the first one it takes nothing from the budget, and
// almost all bodies fit in it.
const readChunkBytes = 64 << 10

// ErrTooLarge reports that a body has more than Limit bytes.
type ErrTooLarge struct {
	Limit int64
}

func (e ErrTooLarge) Error() string { return fmt.Sprintf("the body has more than %d bytes", e.Limit) }

// ErrNoMemory reports that the bodies that are read at the same time leave no memory for a body.
type ErrNoMemory struct {
	// Wanted is the number of bytes that weren't granted.
	Wanted int64
}

func (e ErrNoMemory) Error() string {
	return fmt.Sprintf("other bodies leave no memory for %d bytes of the body", e.Wanted)
}

// readChunks holds pieces that are used again, so that bodies which are given up leave no garbage of their size.
var readChunks = sync.Pool{New: func() any { return new([readChunkBytes]byte) }}

// ReadAll reads a body of at most limit bytes to its end, with memory from the budget, which is returned at the end: the budget
// bounds the bodies that are read at the same time. The error is an ErrTooLarge, an ErrNoMemory or that of the reader.
func ReadAll(r io.Reader, b *Budget, limit int64) ([]byte, error) {
	var chunks []*[readChunkBytes]byte
	defer func() {
		for i, chunk := range chunks {
			readChunks.Put(chunk)
			if i > 0 {
				b.Return(readChunkBytes)
			}
		}
	}()
	var pieces [][]byte
	for size := int64(0); ; {
		if len(chunks) > 0 && !b.TryTake(readChunkBytes, Running) {
			return nil, ErrNoMemory{readChunkBytes}
		}
		chunk := readChunks.Get().(*[readChunkBytes]byte)
		chunks = append(chunks, chunk)
		n, err := fill(r, chunk[:])
		pieces, size = append(pieces, chunk[:n]), size+int64(n)
		switch {
		case size > limit:
			return nil, ErrTooLarge{limit}
		case errors.Is(err, io.EOF):
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until p is full or the reader returns an error. Unlike that of io.ReadFull, its error tells an end from a body that
// breaks off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	return n, err
}
