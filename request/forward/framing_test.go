package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawResponse returns a handler that sends the text with the request's id in its head, and then closes the connection,
// or resets it.
func rawResponse(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.Replace(text, "\r\n", "\r\nX-Signed: 1\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n", 1))
		if reset {
			time.Sleep(50 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Heads of responses that differ in their framing.
const (
	unframedHead       = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	unframedStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedStreamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

const firstTwoEvents = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"

// inChunks returns the text as a chunked body of one chunk.
func inChunks(text string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text) }

// streamsCutInsideEvent are responses of servers that broke off after two events, inside the third.
var streamsCutInsideEvent = map[string]http.HandlerFunc{
	"end of the connection": rawResponse(unframedStreamHead+firstTwoEvents+"id: 3\nda", false),
	"line without an end":   rawResponse(unframedStreamHead+firstTwoEvents+"id: 3\ndata: t3", false),
	"event without an end":  rawResponse(unframedStreamHead+firstTwoEvents+"id: 3\ndata: t3\n", false),
	"proper last chunk":     rawResponse(chunkedStreamHead+inChunks(firstTwoEvents+"id: 3\nda"), false),
	"reset":                 rawResponse(unframedStreamHead+firstTwoEvents+"id: 3\nda", true),
}

func TestStreamCutInsideEventIsResumed(t *testing.T) {
	for name, server := range streamsCutInsideEvent {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, server, func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.Header.Get("Last-Event-Id") == "2", r.Header.Get("Last-Event-Id"))
				eventStream(3, 4, true)(w, r)
			})
			status, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
			assert.Equal(t, status, 200)
			assert.Equal(t, body, firstTwoEvents+"id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n")
		})
	}
}

func TestStreamCutInsideEventIsNotComplete(t *testing.T) {
	for name, server := range streamsCutInsideEvent {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, server)
			_, body, _ := f.do(t, f.request(t, "POST", "/fixed/", "b"))
			events, err, interrupted := strings.Cut(body, "|")
			assert.Assert(t, interrupted, body)
			assert.Equal(t, events, firstTwoEvents, err)
		})
	}
}

// A stream without a length, chunks or an event may have been broken off before its first event.
func TestUnframedStreamWithoutEventIsNotComplete(t *testing.T) {
	f := newFixture(t, rawResponse(unframedStreamHead, false))
	status, _, _ := f.do(t, f.request(t, "POST", "/fixed/", "b"))
	assert.Equal(t, status, http.StatusBadGateway)
	f = newFixture(t, rawResponse(unframedStreamHead, false), eventStream(1, 2, true))
	status, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, firstTwoEvents)
}

// rawExchange sends a request with the protocol version on a connection of its own. It returns the response, its body
// and the error with which the body ended; nil stands for the end of the connection or of the framed body.
func (f *fixture) rawExchange(t *testing.T, path, version string) (*http.Response, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.proxy.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "POST "+path+" "+version+"\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\nContent-Length: 1\r\n\r\nb")
	assert.NilError(t, err)
	var raw strings.Builder
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	if isUnframed(resp) && resp.ProtoAtLeast(1, 1) {
		head, _, _ := strings.Cut(raw.String(), "\r\n\r\n")
		assert.Assert(t, strings.Contains(head+"\r\n", "\r\nConnection: close\r\n"), head)
	}
	return resp, string(body), err
}

func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// A response that ends with its server's connection ends with the caller's connection too: a length or a last chunk
// would vouch for its completeness.
func TestUnframedResponseStaysUnframed(t *testing.T) {
	for name, tc := range map[string]struct {
		path, text, want string
	}{
		"plain":       {"/once/", unframedHead + "answer", "answer"},
		"repeatable":  {"/repeat/", unframedHead + "answer", "answer"},
		"failure":     {"/once/", strings.Replace(unframedHead, "200 OK", "500 No", 1) + "answer", "answer"},
		"large plain": {"/once/", unframedHead + strings.Repeat("a", 2*maxBufferedBytes), strings.Repeat("a", 2*maxBufferedBytes)},
		"stream":      {"/fixed/", unframedStreamHead + firstTwoEvents, firstTwoEvents},
		"resumable":   {"/stream/", unframedStreamHead + firstTwoEvents, firstTwoEvents},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, rawResponse(tc.text, false))
			resp, body, err := f.rawExchange(t, tc.path, "HTTP/1.1")
			assert.NilError(t, err)
			assert.Equal(t, body, tc.want)
			assert.Assert(t, isUnframed(resp), "length %d, encoding %v", resp.ContentLength, resp.TransferEncoding)
			assert.Equal(t, resp.Header.Get("X-Signed"), "1")
		})
	}
}

// When a response without framing is broken off, the caller's connection is reset: its end would complete the response.
func TestInterruptedUnframedResponseIsReset(t *testing.T) {
	largePart := unframedHead + strings.Repeat("a", 2*maxBufferedBytes)
	for name, tc := range map[string]struct {
		path, version string
		server        http.HandlerFunc
	}{
		"stream inside an event": {"/fixed/", "HTTP/1.1", streamsCutInsideEvent["end of the connection"]},
		"stream by a reset":      {"/fixed/", "HTTP/1.1", rawResponse(unframedStreamHead+firstTwoEvents, true)},
		"large plain":            {"/once/", "HTTP/1.1", rawResponse(largePart, true)},
		"HTTP/1.0":               {"/fixed/", "HTTP/1.0", eventStream(1, 2, false)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tc.server)
			resp, _, err := f.rawExchange(t, tc.path, tc.version)
			assert.Assert(t, isUnframed(resp), "length %d, encoding %v", resp.ContentLength, resp.TransferEncoding)
			var opErr *net.OpError
			assert.Assert(t, errors.As(err, &opErr), "the body ended with %v", err)
		})
	}
}

// A response that began in chunks is not ended by a last chunk when the server that took the stream up only closed its
// connection.
func TestUnframedEndOfChunkedResponseIsNotComplete(t *testing.T) {
	f := newFixture(t, eventStream(1, 2, false), rawResponse(unframedStreamHead+"id: 3\ndata: t3\n\n", false))
	resp, body, err := f.rawExchange(t, "/stream/", "HTTP/1.1")
	assert.DeepEqual(t, resp.TransferEncoding, []string{"chunked"})
	assert.Equal(t, body, firstTwoEvents+"id: 3\ndata: t3\n\n")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// unframedStream returns a handler that sends the events from first to last, and ends them with its connection.
func unframedStream(first, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rawResponse(unframedStreamHead+eventTexts(first, last), false)(w, r)
	}
}

// A further run whose end isn't proven cut the caller at once, although another server could have proven it.
func TestUnprovenEndIsProvenByAnotherServer(t *testing.T) {
	broken, empty := eventStream(1, 2, false), idStream(regular)
	whole, part := received{"1 2 3", true}, received{"1 2 3", false}
	relays := newOrderFixture(t, broken)
	relays.relayAfterFirst(t, rawPeer(t, unframedStream(3, 3)), newOrderFixture(t, empty).relayServer(t))
	for name, tc := range map[string]struct {
		f    *fixture
		want received
	}{
		"nothing to add":         {newOrderFixture(t, broken, unframedStream(3, 3), empty), whole},
		"more to add":            {newOrderFixture(t, broken, unframedStream(3, 3), goOn(5)), received{"1 2 3 4 5", true}},
		"unproven twice":         {newOrderFixture(t, broken, unframedStream(3, 3), unframedStream(4, 4), empty), received{"1 2 3 4", true}},
		"a peer's servers":       {newPartitioned(t, newOrderFixture(t, broken, unframedStream(3, 3), empty).relayServer(t)), whole},
		"a second peer":          {relays, whole},
		"no attempt is left":     {newFixture(t, broken, unframedStream(3, 3), empty), part},
		"no server is left":      {newOrderFixture(t, broken, unframedStream(3, 3)), part},
		"another server repeats": {newOrderFixture(t, broken, unframedStream(3, 3), unframedStream(3, 3)), part},
	} {
		_, got := tc.f.stream(t, "")
		assert.Check(t, got == tc.want, "%s: %v", name, got)
	}
}

// A further run without an event that ended with its connection counted as a crash, so that no third server was asked.
func TestUnprovenEmptyRunIsNoCrash(t *testing.T) {
	unproven, empty, good := unframedStream(1, 0), idStream(regular), goOn(4)
	whole, part, longer := received{"1 2", true}, received{"1 2", false}, received{"1 2 3 4", true}
	for beginName, begin := range map[string]struct {
		broken http.HandlerFunc
		isCut  bool
	}{
		"chunked":                {idStream(betweenEvents, "1", "2"), false},
		"unframed":               {rawResponse(unframedStreamHead+firstTwoEvents, true), false},
		"chunked, inside event":  {idStream(insideEvent, "1", "2"), true},
		"unframed, inside event": {streamsCutInsideEvent["end of the connection"], true},
	} {
		ended := whole
		if begin.isCut {
			ended = part
		}
		for name, tc := range map[string]struct {
			f    *fixture
			want received
		}{
			"nothing to add":     {newOrderFixture(t, begin.broken, unproven, empty), ended},
			"more to add":        {newOrderFixture(t, begin.broken, unproven, good), longer},
			"unproven twice":     {newOrderFixture(t, begin.broken, unproven, unproven, good), longer},
			"a peer's servers":   {newPartitioned(t, newOrderFixture(t, begin.broken, unproven, good).relayServer(t)), longer},
			"no attempt is left": {newFixture(t, begin.broken, unproven, good), part},
			"no server is left":  {newOrderFixture(t, begin.broken, unproven), part},
		} {
			_, got := tc.f.stream(t, "")
			assert.Check(t, got == tc.want, "%s, %s: %v", beginName, name, got)
		}
	}
}

// A response that began without framing is completed by whichever server ends it properly.
func TestUnframedResponseIsResumed(t *testing.T) {
	f := newFixture(t, streamsCutInsideEvent["end of the connection"], eventStream(3, 3, true))
	resp, body, err := f.rawExchange(t, "/stream/", "HTTP/1.1")
	assert.NilError(t, err)
	assert.Assert(t, isUnframed(resp))
	assert.Equal(t, body, firstTwoEvents+"id: 3\ndata: t3\n\n")
}

// The end of the connection completes a response without framing. So it must be a reset if the instance stops or ends
// while the server still sends.
func TestUnframedResponseIsResetWhenInstanceEnds(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"server closed":      func(f *fixture) { _ = f.proxy.Config.Close() },
		"connections closed": func(f *fixture) { f.proxy.CloseClientConnections() },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			var f *fixture
			f = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				head := strings.Replace(unframedStreamHead, "\r\n", "\r\nX-Signed: 1\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n", 1)
				_, _ = io.WriteString(conn, head+firstTwoEvents)
				time.AfterFunc(100*time.Millisecond, func() { end(f) })
				<-release
				_ = conn.Close()
			})
			resp, body, err := f.rawExchange(t, "/fixed/", "HTTP/1.1")
			assert.Assert(t, isUnframed(resp))
			var opErr *net.OpError
			assert.Assert(t, errors.As(err, &opErr), "the body %q ended with %v", body, err)
		})
	}
}

// An encoded body isn't the server's, whether a server sends it or another instance does.
func TestEncodedResponseDoesNotReachCaller(t *testing.T) {
	for pathName, path := range scriptedPaths {
		t.Run(pathName, func(t *testing.T) {
			t.Parallel()
			script := &rawScript{}
			f := path(t, script).withRetries()
			for _, head := range []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\n", streamHead} {
				body := eventTexts(1, lastEvent)
				script.set(rawAnswer{text: framed(head+"Content-Encoding: gzip\r\n", "length", body, body)})
				f.markUnreachable()
				v := f.view(t, "/fixed/", rawCallers[0])
				assert.Check(t, v.resp.StatusCode == http.StatusBadGateway, "%s", v)
			}
		})
	}
}
