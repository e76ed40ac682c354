package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerTo returns a response to the request with the id, whose body names the id. If it is to lack its id, nothing tells to
// which request it belongs.
func answerTo(id string, named bool) string {
	body := "answer to " + id
	header := ""
	if named {
		header = headerRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// copyingServer answers each request and sends a second copy of the first answer of a connection at some moment.
type copyingServer struct {
	// moment is when the copy is sent: with the answer, while the connection is idle, after the next request was read, in two
	// parts around the next request, or after the next answer's head.
	moment string
	// named is set if the copy has the id of its request.
	named bool
}

func (s copyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	first := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(headerRequestID)
		answer := answerTo(id, true)
		if n == 0 {
			first = answerTo(id, s.named)
		}
		switch {
		case n == 0 && s.moment == "with the answer":
			answer += first
		case n == 0 && s.moment == "while idle":
			time.AfterFunc(5*time.Millisecond, func() { _, _ = io.WriteString(conn, first) })
		case n == 0 && s.moment == "in two parts":
			time.AfterFunc(5*time.Millisecond, func() { _, _ = io.WriteString(conn, first[:20]) })
		case n == 1 && s.moment == "in two parts":
			answer = first[20:] + answer
		case n == 1 && s.moment == "before the next answer":
			_, _ = io.WriteString(conn, first)
			time.Sleep(2 * time.Millisecond)
		case n == 1 && s.moment == "after the next answer":
			answer += first
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// A second copy of an answer, at whatever moment it comes on a connection that is in use again, reaches no other request: each
// gets its own answer or an error.
func TestSecondCopyReachesNoOtherRequest(t *testing.T) {
	for _, moment := range []string{"with the answer", "while idle", "in two parts", "before the next answer", "after the next answer"} {
		for _, named := range []bool{true, false} {
			for _, skip := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/named=%t/skip=%t", moment, named, skip), func(t *testing.T) {
					ln, err := net.Listen("tcp", "127.0.0.1:0")
					assert.NilError(t, err)
					defer func() { _ = ln.Close() }()
					go func() {
						for {
							conn, err := ln.Accept()
							if err != nil {
								return
							}
							go copyingServer{moment, named}.serve(conn)
						}
					}()
					tr := &Transport{SkipForeignResponses: skip}
					defer tr.Close()
					answered := 0
					for n := range 8 {
						id := fmt.Sprint("r", n)
						req, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+"/", http.NoBody)
						assert.NilError(t, err)
						res, err := tr.Send(req, id, false)
						if err != nil {
							continue
						}
						body, err := io.ReadAll(res.Body)
						_ = res.Body.Close()
						if err == nil {
							assert.Equal(t, string(body), "answer to "+id)
							answered++
						}
						time.Sleep(time.Duration(n%3) * 4 * time.Millisecond)
					}
					assert.Assert(t, answered >= 4, "%d of 8 answered", answered)
				})
			}
		}
	}
}
