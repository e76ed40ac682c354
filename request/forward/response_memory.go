package forward

import (
	"io"
	"net/http"

	"github.com/toucanroute/toucanroute/process/memory"
)

const (
	// passedFieldBytes is the memory of one header field that is passed on, without its text: its entries in the headers of
	// the server's response, in those of the response to the caller and in net/http's copy of the latter.
	passedFieldBytes = 400
	// freeFields is the number of fields for which no memory is taken. Almost all heads have fewer.
	freeFields = 32
)

// takeHeadMemory takes the memory in which the head of a response is passed on, in place of that of an earlier one. It returns
// false if there is none. Further runs of a stream pass no head on.
func (c *call) takeHeadMemory(h http.Header) bool {
	if !c.firstByteAt.IsZero() {
		return true
	}
	c.returnHeadMemory()
	fields := 0
	for _, values := range h {
		fields += len(values)
	}
	size := int64(passedFieldBytes * max(fields-freeFields, 0))
	if size == 0 {
		return true
	}
	if !c.f.Heads.TryTake(size, memory.Running) {
		return false
	}
	c.headMemory = size
	return true
}

func (c *call) returnHeadMemory() {
	if c.headMemory > 0 {
		c.f.Heads.Return(c.headMemory)
		c.headMemory = 0
	}
}

// copyBody copies a body to the caller through a buffer of freeBufferBytes. io.Copy would take several times as much.
func (c *call) copyBody(body io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{c.w}, body, make([]byte, freeBufferBytes))
	return err
}
