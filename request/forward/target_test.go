package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/version/hostroute"
)

// The target of a request reaches the server unchanged, also through another instance, or the request is refused.
func TestTargetPassesUnchanged(t *testing.T) {
	var got string
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.RequestURI
		signedResponse(http.StatusOK, "answer")(w, r)
	})
	cfg := testConfig()
	cfg.Routes = append(cfg.Routes, testRoute("root", func(r *hostroute.Route) { r.Prefix = "/" }))
	table, err := hostroute.NewTable(cfg)
	assert.NilError(t, err)
	relaying := newPartitioned(t, f.relayServer(t))
	for _, first := range []*fixture{f, relaying} {
		first.forwarder.Table = func() *hostroute.Table { return table }
		for _, target := range []string{"/", "/a//b", "//", "//h/a", "//a?b=//c", "//a?", "///a", "//a%2Fb/%e9", "//a:b@c/*", `//a"b`, "//{a}", "//é"} {
			got = ""
			conn, err := net.Dial("tcp", first.proxy.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Key: k\r\nX-Id: r1\r\nContent-Length: 1\r\n\r\nb", target)
			assert.NilError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
			assert.NilError(t, conn.Close())
			if res.StatusCode == http.StatusOK {
				assert.Equal(t, got, target)
				continue
			}
			assert.Equal(t, res.StatusCode, http.StatusBadRequest, target)
			assert.Equal(t, got, "")
		}
	}
}
