package forward

import (
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
)

// maxLoggedParts bounds the parts of a prompt that a log line lists.
const maxLoggedParts = 8

// loggedParts returns the ids of the first parts of the prompt, for log lines on lost requests.
func (c *call) loggedParts() []string {
	return c.identity.Parts[:min(len(c.identity.Parts), maxLoggedParts)]
}

// identify sets what the request is known by if servers crash under it.
func (c *call) identify() {
	body := c.body
	if c.meta.Prompt != nil {
		c.identity.Parts = c.meta.Prompt.PartIDs()
		if len(body) == 0 {
			// Only the prompt tells such requests apart.
			body = []byte(strings.Join(c.identity.Parts, ","))
		}
	}
	c.identity.Fingerprint = quarantine.FingerprintOf(c.r.Method, c.r.RequestURI, c.workspace, body)
}

// checkQuarantine returns an error if backend servers crash under the request.
func (c *call) checkQuarantine() error {
	refusal, refused := c.f.Quarantine.Check(c.identity)
	if !refused {
		return nil
	}
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeQuarantined, Message: "backend servers crash under this request",
		NotRun: c.possibleRuns == 0, RetryAfter: refusal.RetryAfter, Cause: errQuarantined{refusal.Quarantine.ID},
	}
}

// errQuarantined is the cause of the refusal of a request in quarantine.
type errQuarantined struct{ id string }

func (e errQuarantined) Error() string { return "the request is in quarantine " + e.id }

// maxCrashes is the number of servers that may have crashed under a request until it isn't sent to another after an
// attempt that was lost.
const maxCrashes = 2

// crashesServers reports whether too many servers may have crashed under the request, in its attempts or before.
func (c *call) crashesServers() bool {
	if c.lost == 0 {
		return false
	}
	known := c.f.Quarantine.CrashCount(c.identity.Fingerprint)
	if known+c.lost < maxCrashes {
		return false
	}
	c.f.Log.Info("retry_refused",
		zap.String("request_id", c.meta.ID), zap.String("pool", c.pool.Name), zap.String("fingerprint", c.identity.Fingerprint),
		zap.Int("crashes", known), zap.Int("lost", c.lost))
	return true
}

// reportIfCrashed reports a lost request whose connection the server closed or reset, unless the answer had begun long
// before: the server may have crashed under it.
func (c *call) reportIfCrashed(server *registry.Server, err error) {
	if quarantine.IsSuspect(err, c.answerBeganAt) {
		c.lost++
		c.f.Quarantine.ReportLost(c.sentRequest(server))
	}
}

// recordAnswered records that a server answered the request with success and to the end. An answer that ends with its
// connection may also have ended with its server.
func (c *call) recordAnswered(server *registry.Server, resp *http.Response) {
	switch {
	case !isSuccess(resp):
	case c.framing == request.FramingConnection:
		c.f.Quarantine.ReportUnproven(c.sentRequest(server))
	default:
		c.f.Quarantine.RecordAnswered(c.identity)
	}
}

// sentRequest describes the request that was sent to a server.
func (c *call) sentRequest(server *registry.Server) quarantine.SentRequest {
	entry := server.Entry()
	return quarantine.SentRequest{
		Server: entry.ID + "." + strconv.FormatInt(entry.StartedMs, 36), Address: entry.Address, Pool: entry.Pool, Request: c.identity,
	}
}
