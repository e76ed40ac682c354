package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// keptCaller is a caller that keeps its connection to a daemon for many requests.
type keptCaller struct {
	address string
	c       net.Conn
	r       *bufio.Reader
}

// call sends a request and reads its answer. The connection is closed after an error, or if the daemon asks for that.
func (k *keptCaller) call(method, host, path, id, headers, body string, timeout time.Duration) (a answer) {
	a.began = time.Now()
	defer func() {
		a.ended = time.Now()
		if (a.err != nil || a.header.Get("Connection") == "close") && k.c != nil {
			_ = k.c.Close()
			k.c = nil
		}
	}()
	if k.c == nil {
		c, err := net.DialTimeout("tcp", k.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		k.c, k.r = c, bufio.NewReader(c)
	}
	_ = k.c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(k.c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Toucanroute-Attempt-Id: %s\r\nX-Toucanroute-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, host, id, timeout.Milliseconds(), headers, len(body), body); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.firstByte, a.status, a.header = time.Now(), res.StatusCode, res.Header
	data, err := io.ReadAll(res.Body)
	a.body, a.err = string(data), err
	return a
}
