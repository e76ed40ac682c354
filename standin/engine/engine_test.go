package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const body = `{"model":"assistant","prompt":"mine","standin_tokens":3}`

func newTestServer(t *testing.T) (*Server, *httptest.Server) {
	s := &Server{Name: "e1", TokenTime: time.Millisecond}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, srv
}

func readAnswer(t *testing.T, r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var a answer
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// A crossed answer comes behind the own one on the same connection and belongs to another prompt.
func TestCrossedAnswer(t *testing.T) {
	s, srv := newTestServer(t)
	s.faults.Update(func(f *Faults) { f.CrossAnswers = 1 })
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	assert.Equal(t, *readAnswer(t, r).Choices[0].Text, Answer("mine", 3))
	assert.Equal(t, *readAnswer(t, r).Choices[0].Text, Answer("another request", 3))
	assert.Equal(t, s.faults.Get().CrossAnswers, 0)
}

func TestKeyInTrailerIsSeen(t *testing.T) {
	s, srv := newTestServer(t)
	r, err := http.NewRequest(http.MethodPost, srv.URL+"/v1/completions", io.NopCloser(strings.NewReader(body)))
	assert.NilError(t, err)
	r.Trailer = http.Header{"Authorization": {"Bearer k"}}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, s.stats.KeysSeen, 1)
}

// Lengths are heavy-tailed: the longest of many answers is far above the median, and each engine draws the same.
func TestLengths(t *testing.T) {
	a := &Server{}
	a.setDefaults()
	b := &Server{}
	b.setDefaults()
	below, above := 0, 0
	for i := range 2000 {
		prompt := fmt.Sprint("prompt ", i)
		n := a.drawLength(prompt)
		assert.Equal(t, n, b.drawLength(prompt))
		assert.Assert(t, n >= defaultMinTokens && n <= defaultMaxTokens, n)
		if n <= 2*defaultMinTokens {
			below++
		}
		if n >= 16*defaultMinTokens {
			above++
		}
	}
	assert.Assert(t, below > 1000 && above > 40, "%d below, %d above", below, above)
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := newCache(2, 1)
	assert.Equal(t, c.use("aaaa"), 0)
	assert.Equal(t, c.use("bbbb"), 0)
	assert.Equal(t, c.use("aaaa"), 1)
	assert.Equal(t, c.use("cccc"), 0)
	assert.Equal(t, c.use("aaaa"), 1)
	assert.Equal(t, c.use("bbbb"), 0)
	events := c.after(0, 0, 0).Events
	assert.Equal(t, events[len(events)-1].Prefix, PrefixHash("cccc"))
	half := len(c.after(0, 0, 0.5).Events)
	assert.Assert(t, half < len(events))
	assert.Equal(t, half, len(c.after(0, 0, 0.5).Events))
}
