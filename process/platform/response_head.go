package platform

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// ErrStatus reports that a response has a status that is none of HTTP's, or that switches to a protocol without having been
// asked to. What follows it on the connection is no response either.
type ErrStatus struct {
	Status int
}

func (e ErrStatus) Error() string {
	return fmt.Sprintf("the response has the invalid status %03d", e.Status)
}

// ErrFieldName reports that a response has a field with an invalid name, such as one with a blank. It may be the field that
// tells how long the body is.
type ErrFieldName struct {
	Name string
}

func (e ErrFieldName) Error() string {
	return fmt.Sprintf("the response has a field with the invalid name %.100q", e.Name)
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// CheckStatus returns an ErrStatus unless the status is that of a final or an informational response.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return ErrStatus{status}
	}
	return nil
}

// CheckHead returns an ErrStatus or an ErrFieldName if a head that net/http has parsed isn't valid. net/http accepts names
// with blanks, but doesn't take "Content-Length " for a length.
func CheckHead(status int, h http.Header) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName{name}
		}
	}
	return nil
}

// IsAmbiguousLine reports whether a line of a head begins with a blank, so that it goes on with the value before it, and
// otherwise has the form of a field, whose name holds a blank then.
func IsAmbiguousLine(line []byte) bool {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || line[0] != ' ' && line[0] != '\t' {
		return false
	}
	for part := range bytes.FieldsSeq(name) {
		if !httpguts.ValidHeaderFieldName(string(part)) {
			return false
		}
	}
	return true
}

// errAmbiguousLine reports that a line of a head may be a field or a part of the one before.
var errAmbiguousLine = errors.New("the response has a line that may be a field or a part of the one before")

// headCheck follows the heads of the responses on a connection that net/http reads, which doesn't tell whether a line was joined
// to the one before.
type headCheck struct {
	mu sync.Mutex
	// inHead is set from a request until the end of the head of its final response.
	inHead bool
	// lines is the number of lines of the head so far, and line the beginning of the next one.
	lines int
	line  []byte
	// isInformational is set if the status line is that of an informational response.
	isInformational bool
}

// expect has the next bytes count as the head of a response.
func (h *headCheck) expect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inHead, h.lines, h.line = true, 0, nil
}

// add checks the lines that end in further bytes of the connection.
func (h *headCheck) add(p []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.inHead {
		part, rest, isWhole := bytes.Cut(p, []byte("\n"))
		if h.line = append(h.line, part...); !isWhole {
			return nil
		}
		if err := h.addLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	return nil
}

// addLine checks one line, given without its end; the caller holds mu.
func (h *headCheck) addLine(line []byte) error {
	h.lines++
	switch {
	case h.lines == 1:
		_, status, _ := bytes.Cut(line, []byte(" "))
		h.isInformational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case len(line) == 0:
		h.inHead, h.lines = h.isInformational, 0
	case IsAmbiguousLine(line):
		return errAmbiguousLine
	}
	return nil
}
