package forward

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/registry"
)

// promiseStatuses are the statuses that tell a caller that its request hasn't run and never will.
var promiseStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// hijacked returns a handler that writes a response of its own over the connection, which it then leaves open, or ends.
// It reads the body of the request before the response if readFirst is set, else after it.
func hijacked(readFirst, end bool, response func(id string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if readFirst {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		conn, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response(r.Header.Get("X-Id")))
		if !end {
			_, _ = io.Copy(io.Discard, rw)
		}
	}
}

// responseHead returns the head of a signed response to the request with an id, without the lines that frame its body.
func responseHead(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Id: %s\r\nX-Signed: 1\r\nX-Detail: internal\r\nRetry-After: 0.1\r\n", status, http.StatusText(status), id)
}

// rejections are the forms in which servers answer with a status, each with the body "busy". The server has begun the
// request, and doesn't state that it hasn't run.
var rejections = map[string]func(status int) http.HandlerFunc{
	"length": func(status int) http.HandlerFunc {
		return hijacked(true, false, func(id string) string { return responseHead(status, id) + "Content-Length: 4\r\n\r\nbusy" })
	},
	"chunked": func(status int) http.HandlerFunc {
		return hijacked(true, false, func(id string) string {
			return responseHead(status, id) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
		})
	},
	"connection": func(status int) http.HandlerFunc {
		return hijacked(true, true, func(id string) string { return responseHead(status, id) + "\r\nbusy" })
	},
	"early": func(status int) http.HandlerFunc {
		return hijacked(false, false, func(id string) string { return responseHead(status, id) + "Content-Length: 4\r\n\r\nbusy" })
	},
	"more bytes": func(status int) http.HandlerFunc {
		return hijacked(true, false, func(id string) string {
			return responseHead(status, id) + "Content-Length: 4\r\n\r\nbusy" + responseHead(http.StatusOK, id) + "Content-Length: 4\r\n\r\nlate"
		})
	},
}

// checkNoPromise checks that a response says nothing about whether its request has run, and is nobody's but the
// instance's.
func checkNoPromise(t *testing.T, form string, status int, body string, h http.Header) {
	t.Helper()
	assert.Check(t, status == http.StatusBadGateway, "%s: status %d", form, status)
	assert.Check(t, strings.Contains(body, `"outcome_unknown"`) && strings.Contains(body, `"not_run":false`), "%s: %s", form, body)
	for _, name := range []string{"X-Signed", "X-Detail", "Retry-After"} {
		assert.Check(t, h.Get(name) == "", "%s: %s is %q", form, name, h.Get(name))
	}
}

// largeBody is longer than what is written of a request before its response is read.
var largeBody = strings.Repeat("b", 64<<10)

// A server has begun a request that must not run twice, and answers with a status that callers take for the promise that
// it hasn't run, without stating that: the caller gets no promise, and no other server gets the request.
func TestUnstatedRejectionIsNoPromise(t *testing.T) {
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, promise := range promiseStatuses {
				for _, route := range []string{"once", "fixed"} {
					f := newFixture(t, rejection(promise), signedResponse(http.StatusOK, "second"))
					status, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", largeBody))
					checkNoPromise(t, fmt.Sprint(route, " ", promise), status, body, h)
					assert.Check(t, f.received.Load() == 1, "%s %d: %d servers got it", route, promise, f.received.Load())
					assert.Check(t, f.started["alba"] == 1, "%s %d: a request that may have run counts", route, promise)
				}
			}
		})
	}
}

// The same holds behind another instance, whether that one checks the server's answer or passes it on.
func TestRelayedUnstatedRejectionIsNoPromise(t *testing.T) {
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, promise := range promiseStatuses {
				for _, route := range []string{"once", "fixed"} {
					reaching := newFixture(t, rejection(promise))
					old := httptest.NewServer(rejection(promise))
					t.Cleanup(old.Close)
					for peer, address := range map[string]string{"instance": reaching.relayServer(t), "old instance": strings.TrimPrefix(old.URL, "http://")} {
						other := newFixture(t, signedResponse(http.StatusOK, "second"))
						f := newPartitioned(t, address, other.relayServer(t))
						status, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", largeBody))
						checkNoPromise(t, fmt.Sprint(peer, " ", route, " ", promise), status, body, h)
						assert.Check(t, h.Get(headerRelayError) == "" && h.Get(headerRelaySent) == "", "%s %s %d", peer, route, promise)
						assert.Check(t, other.received.Load()+f.received.Load() == 0, "%s %s %d: sent once more", peer, route, promise)
					}
				}
			}
		})
	}
}

// Status 421 alone doesn't state that a request hasn't run: one that may be repeated goes to another server as one that
// may have run, and if there is none, the caller doesn't get that status.
func TestUnstatedMisdirectionMayHaveRun(t *testing.T) {
	for _, route := range []string{"repeat", "stream"} {
		t.Run(route, func(t *testing.T) {
			misdirected := rejections["length"](http.StatusMisdirectedRequest)
			f := newFixture(t, misdirected, signedResponse(http.StatusOK, "second"))
			status, body, _ := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
			assert.Check(t, status == http.StatusOK && body == "second", "%d %s", status, body)
			assert.Check(t, f.started["alba"] == 1)

			f = newFixture(t, misdirected, misdirected, misdirected)
			status, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
			checkNoPromise(t, "three servers", status, body, h)
			assert.Check(t, f.received.Load() == 2, "%d of 2 attempts", f.received.Load())
		})
	}
}

// Status 421 means that another server has the address, also where it leaves open whether the request has run: no
// further requests are sent there.
func TestUnstatedMisdirectionReplacesServer(t *testing.T) {
	f := newFixture(t, rejections["length"](http.StatusMisdirectedRequest), signedResponse(http.StatusOK, "second"))
	for range 10 {
		status, body, _ := f.do(t, f.request(t, http.MethodPost, "/repeat/x", "b"))
		assert.Check(t, status == http.StatusOK && body == "second", "%d %s", status, body)
	}
	assert.Check(t, f.received.Load() == 11, "%d requests", f.received.Load())
}

// An unstated rejection of a request that may be repeated passes unchanged if no other server is left.
func TestUnstatedRejectionOfRepeatablePassesUnchanged(t *testing.T) {
	for _, promise := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, route := range []string{"repeat", "stream"} {
			f := newFixture(t, rejections["length"](promise))
			status, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
			assert.Equal(t, status, promise)
			assert.Equal(t, body, "busy")
			assert.Equal(t, h.Get("X-Signed"), "1")
			assert.Equal(t, h.Get("Retry-After"), "0.1")
		}
	}
}

// Failures that promise nothing pass unchanged for all requests.
func TestOtherFailurePassesUnchanged(t *testing.T) {
	for _, failure := range []int{http.StatusBadRequest, http.StatusConflict, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		f := newFixture(t, rejections["length"](failure))
		status, body, h := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
		assert.Equal(t, status, failure)
		assert.Equal(t, body, "busy")
		assert.Equal(t, h.Get("X-Signed"), "1")
	}
}

// A rejection that states that the request hasn't run is believed without a signature, and without an id on a connection
// that has carried no other request. It lets another server have the request.
func TestStatedRejectionIsBelieved(t *testing.T) {
	for name, head := range map[string]string{"no signature": "X-Id: r1\r\n", "no id": "X-Signed: 1\r\n", "neither": ""} {
		for _, status := range append([]int{http.StatusBadRequest}, promiseStatuses...) {
			for _, route := range []string{"once", "fixed", "repeat"} {
				form := fmt.Sprint(name, " ", status, " ", route)
				reject := hijacked(true, false, func(string) string {
					return fmt.Sprintf("HTTP/1.1 %d X\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, head)
				})
				f := newFixture(t, reject, signedResponse(http.StatusOK, "second"))
				got, body, _ := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
				assert.Check(t, got == http.StatusOK && body == "second", "%s: %d %s", form, got, body)

				f = newFixture(t, reject)
				got, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
				assert.Check(t, got == http.StatusServiceUnavailable && strings.Contains(body, `"not_run":true`), "%s: %d %s", form, got, body)
				assert.Check(t, h.Get("Retry-After") != "" && h.Get("X-Signed") == "", form)
			}
		}
	}
}

// On a kept connection a rejection without the id, or with the id of the request before, isn't taken for the response.
func TestLateRejectionIsNoPromise(t *testing.T) {
	for name, id := range map[string]string{"no id": "", "id of the request before": "X-Id: r1\r\n"} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				conn, rw, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprint(conn, responseHead(http.StatusOK, r.Header.Get("X-Id"))+"Content-Length: 2\r\n\r\nok")
				second, err := http.ReadRequest(bufio.NewReader(rw))
				if err != nil {
					return
				}
				arrived.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				time.Sleep(20 * time.Millisecond)
				_, _ = fmt.Fprint(conn, responseHead(http.StatusOK, second.Header.Get("X-Id"))+"Content-Length: 3\r\n\r\nran")
			})
			status, body, _ := f.do(t, f.request(t, http.MethodGet, "/once/x", ""))
			assert.Assert(t, status == http.StatusOK && body == "ok", "%d %s", status, body)
			req := f.request(t, http.MethodGet, "/once/x", "")
			req.Header.Set("X-Id", "r2")
			status, body, _ = f.do(t, req)
			assert.Equal(t, arrived.Load(), int32(2))
			assert.Equal(t, f.received.Load(), int32(1), "the connection must be kept")
			assert.Assert(t, status == http.StatusOK && body == "ran", "%d %s", status, body)
		})
	}
}

// An unstated rejection at an address that another server has taken over isn't sent on either.
func TestUnstatedMisdirectionAtSharedAddress(t *testing.T) {
	for route, want := range map[string]int32{"once": 1, "repeat": 2} {
		f := newFixture(t, rejections["length"](http.StatusMisdirectedRequest))
		address := f.forwarder.Registry.Servers()[0].Entry().Address
		f.forwarder.Registry.Reset([]registry.Entry{
			{ID: "gone", Address: address, Pool: "p", Slots: 16}, {ID: "successor", Address: address, Pool: "p", Slots: 8},
		}, false)
		status, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
		checkNoPromise(t, route, status, body, h)
		assert.Check(t, f.received.Load() == want, "%s: %d requests", route, f.received.Load())
	}
}

// An error of another instance that promises nothing isn't taken for one: neither is the request relayed once more, nor
// does the caller learn that it hasn't run.
func TestRelayedErrorWithoutPromise(t *testing.T) {
	for _, peerStatus := range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set(headerRelayError, "internal")
			w.Header().Set(headerRelaySent, "1")
			w.WriteHeader(peerStatus)
		}))
		t.Cleanup(peer.Close)
		other := newFixture(t, signedResponse(http.StatusOK, "second"))
		f := newPartitioned(t, strings.TrimPrefix(peer.URL, "http://"), other.relayServer(t))
		status, body, h := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
		assert.Check(t, status == peerStatus && strings.Contains(body, `"not_run":false`), "%d: %d %s", peerStatus, status, body)
		assert.Check(t, h.Get("Retry-After") == "", "%d", peerStatus)
		assert.Check(t, other.received.Load()+f.received.Load() == 0, "%d: sent once more", peerStatus)
	}
}
