package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// channel is a requester's connection, on which it sends one request at a time.
type channel struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// answer is what a requester got.
type answer struct {
	status int
	header http.Header
	body   []byte
	close  bool
	err    error
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return "no answer: " + a.err.Error()
	}
	text := fmt.Sprintf("status %d, mac %q, %d bytes", a.status, a.header.Get("X-Toucanroute-Response-Signature"), len(a.body))
	if a.err != nil {
		text += ", broken off: " + a.err.Error()
	}
	return text
}

// head returns the head of a request.
func head(method, path, id string, deadlineMs int, more string, length int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Toucanroute-Attempt-Id: %s\r\nX-Toucanroute-Key: %s\r\nX-Toucanroute-Deadline-Ms: %d\r\n%s",
		method, path, routeHost, id, apiKey, deadlineMs, more)
	if length >= 0 {
		h += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return h + "\r\n"
}

// send sends a request and reads its answer.
func (c *channel) send(method, path, id string, deadlineMs int, more string, body []byte) answer {
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs)*time.Millisecond + time.Second))
	if _, err := io.Copy(c, io.MultiReader(bytes.NewReader([]byte(head(method, path, id, deadlineMs, more, len(body)))), bytes.NewReader(body))); err != nil {
		return answer{err: err}
	}
	return c.read()
}

// read reads one answer.
func (c *channel) read() answer {
	res, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: res.StatusCode, header: res.Header, close: res.Close}
	a.body, a.err = io.ReadAll(res.Body)
	return a
}
