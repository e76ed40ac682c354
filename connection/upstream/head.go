package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/process/platform"
)

const (
	// readBufferBytes is the size of a connection's read buffer, in which most heads fit.
	readBufferBytes = 2 << 10
	// maxHeadBytes bounds the head of a response, together with the informational responses before it.
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds the lines of one head.
	maxHeadLines = 1000
	// headBufferGrowth is the factor by which a read buffer grows that a head doesn't fit in.
	headBufferGrowth = 4
	// headLineBytes is the memory that a parsed line takes besides its text, and freeHeadLines the number of lines for which
	// none is taken from the budget. Almost all heads have fewer.
	headLineBytes = 128
	freeHeadLines = 32
	// defaultHeadMemory is the default size of Transport.HeadMemory in bytes.
	defaultHeadMemory = 16 << 20
	// maxErrorBytes bounds the text of an error, which may quote a part of a head.
	maxErrorBytes = 200
)

var (
	// errHeadTooLarge reports that the head of a response has more than maxHeadBytes or maxHeadLines.
	errHeadTooLarge = errors.New("the head of the response is too large")
	// errHeadMemory reports that there is no memory for a long head.
	errHeadMemory = errors.New("the head of the response takes more memory than there is for it")
)

// errHeadLine reports that a line of a head isn't what it should be, so that nothing of the response can be used: the line may
// be the one that tells how long the body is.
type errHeadLine struct {
	// number is that of the line; the status line has 1.
	number int
	fault  lineFault
}

func (e errHeadLine) Error() string {
	return fmt.Sprintf("line %d of the response's head %s", e.number, e.fault)
}

// lineFault is what is wrong with a line of a head.
type lineFault string

const (
	// faultNoStatus means that the first line is no status line.
	faultNoStatus lineFault = "is no status line"
	// faultName means that the line's field has no valid name, such as one with a blank or a control byte.
	faultName lineFault = "has no valid field name"
	// faultFolded means that the line begins with a blank, and is the first after the status line or may be a field.
	faultFolded lineFault = "may be a field or a part of the one before"
)

// readResponse reads the headers of the final response and skips informational (1xx) responses. Their memory is taken from
// the budget until releaseHead is called.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	for left := maxHeadBytes; ; {
		size, lines, err := c.bufferHead(left)
		if err != nil {
			return nil, err
		}
		left -= size
		parsedBytes := int64(max(size-readBufferBytes, 0) + headLineBytes*max(lines-freeHeadLines, 0))
		if !c.takeHeadMemory(parsedBytes) {
			return nil, errHeadMemory
		}
		c.shrinkBuffer()
		res, err := http.ReadResponse(c.r, req)
		if err != nil {
			// The error may be kept while another server is tried.
			text := err.Error()
			return nil, errors.New(text[:min(len(text), maxErrorBytes)])
		}
		if err := platform.CheckStatus(res.StatusCode); err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
		c.returnHeadMemory(parsedBytes)
	}
}

// takeHeadMemory takes memory for a head from the budget, unless there is none.
func (c *conn) takeHeadMemory(n int64) bool {
	if n > 0 && !c.budget.TryTake(n, memory.Running) {
		return false
	}
	c.headMemory += n
	return true
}

func (c *conn) returnHeadMemory(n int64) {
	c.headMemory -= n
	if n > 0 {
		c.budget.Return(n)
	}
}

// releaseHead returns the memory of the heads that were read.
func (c *conn) releaseHead() { c.returnHeadMemory(c.headMemory) }

// bufferHead reads a head of at most limit bytes into the read buffer, checks its lines, and returns its size and the number
// of its lines. The head isn't taken out of the buffer.
func (c *conn) bufferHead(limit int) (size, lines int, err error) {
	for lines = 1; lines <= maxHeadLines; lines++ {
		line, err := c.peekLine(size, limit)
		if err != nil {
			return 0, 0, err
		}
		size += len(line)
		if line = trimLineEnd(line); len(line) == 0 && lines > 1 {
			return size, lines, nil
		}
		if fault := checkLine(line, lines); fault != "" {
			return 0, 0, errHeadLine{lines, fault}
		}
	}
	return 0, 0, errHeadTooLarge
}

// peekLine returns the line of the read buffer that begins at start, with its end, after it has read that far. The line ends
// before limit, and is valid until the next read.
func (c *conn) peekLine(start, limit int) ([]byte, error) {
	for searched := start; ; {
		buffered, err := c.r.Peek(c.r.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(buffered[searched:min(len(buffered), limit)], '\n'); i >= 0 {
			return buffered[start : searched+i+1], nil
		}
		if searched = len(buffered); searched >= limit {
			return nil, errHeadTooLarge
		}
		if searched == c.r.Size() {
			if !c.growBuffer(buffered, limit) {
				return nil, errHeadMemory
			}
		}
		if _, err := c.r.Peek(searched + 1); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}

// growBuffer replaces the full read buffer by a larger one. It returns false if there is no memory for it.
func (c *conn) growBuffer(buffered []byte, limit int) bool {
	size := min(headBufferGrowth*len(buffered), max(limit, len(buffered)+1))
	if !c.takeHeadMemory(int64(size - len(buffered))) {
		return false
	}
	c.source = io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.source)
	c.r = bufio.NewReaderSize(c.source, size)
	return true
}

// shrinkBuffer replaces a read buffer that has grown by one of the usual size, which bounds the lines of a chunked body and its
// trailer. What was buffered is read again.
func (c *conn) shrinkBuffer() {
	if c.r.Size() == readBufferBytes {
		return
	}
	// The read returns what is buffered.
	buffered, _ := c.r.Peek(c.r.Buffered())
	c.readAgain = bytes.NewReader(buffered)
	c.source = io.MultiReader(c.readAgain, c.source)
	c.r = bufio.NewReaderSize(c.source, readBufferBytes)
}

// hasUnread reports whether bytes were read from the connection that are part of no response.
func (c *conn) hasUnread() bool {
	return c.r.Buffered() > 0 || c.readAgain != nil && c.readAgain.Len() > 0
}

// trimLineEnd returns a line without its line feed and the carriage return before that.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// checkLine returns what is wrong with a line of a head; empty if nothing is.
func checkLine(line []byte, number int) lineFault {
	if number == 1 {
		if !isStatusLine(line) {
			return faultNoStatus
		}
		return ""
	}
	if line[0] == ' ' || line[0] == '\t' {
		if number == 2 || platform.IsAmbiguousLine(line) {
			return faultFolded
		}
		return ""
	}
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !httpguts.ValidHeaderFieldName(string(name)) {
		return faultName
	}
	return ""
}

// isStatusLine reports whether a line has the form of a status line: a version, blanks, three digits, and a blank if a reason
// follows. net/http quotes a long line that hasn't in its error.
func isStatusLine(line []byte) bool {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	rest = bytes.TrimLeft(rest, " ")
	if _, _, ok := http.ParseHTTPVersion(string(version[:min(len(version), len("HTTP/1.1")+1)])); !ok || len(rest) < 3 {
		return false
	}
	for _, digit := range rest[:3] {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(rest) == 3 || rest[3] == ' '
}
