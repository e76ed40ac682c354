package forward

import (
	"net/http"
	"strconv"

	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
)

// maxLoggedParts bounds the parts of a prompt that a log line lists.
const maxLoggedParts = 8

// parts returns the ids of the parts of the prompt.
func (c *call) parts() []string {
	if c.meta.Prompt == nil {
		return nil
	}
	return c.meta.Prompt.PartIDs()
}

// loggedParts returns the ids of the first parts of the prompt, for log lines on lost requests.
func (c *call) loggedParts() []string {
	parts := c.parts()
	return parts[:min(len(parts), maxLoggedParts)]
}

// checkQuarantine returns an error if backend servers crash under the prompt.
func (c *call) checkQuarantine() error {
	if c.meta.Prompt == nil {
		return nil
	}
	refusal, refused := c.f.Quarantine.Check(c.parts())
	if !refused {
		return nil
	}
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeQuarantined, Message: "backend servers crash under this prompt",
		NotRun: c.possibleRuns == 0, RetryAfter: refusal.RetryAfter, Cause: errQuarantined{refusal.Quarantine.ID},
	}
}

// errQuarantined is the cause of the refusal of a prompt in quarantine.
type errQuarantined struct{ id string }

func (e errQuarantined) Error() string { return "the prompt is in quarantine " + e.id }

// reportIfCrashed reports a lost request whose connection the server closed or reset, unless the answer had begun long
// before: the server may have crashed under the prompt.
func (c *call) reportIfCrashed(server *registry.Server, err error) {
	if c.meta.Prompt != nil && quarantine.IsSuspect(err, c.answerBeganAt) {
		c.f.Quarantine.ReportLost(c.sentRequest(server))
	}
}

// recordAnswered records that a server answered the prompt with success and to the end. An answer that ends with its
// connection may also have ended with its server.
func (c *call) recordAnswered(server *registry.Server, resp *http.Response) {
	switch {
	case c.meta.Prompt == nil || !isSuccess(resp):
	case c.framing == request.FramingConnection:
		c.f.Quarantine.ReportUnproven(c.sentRequest(server))
	default:
		c.f.Quarantine.RecordAnswered(c.parts())
	}
}

// sentRequest describes the request that was sent to a server.
func (c *call) sentRequest(server *registry.Server) quarantine.SentRequest {
	entry := server.Entry()
	return quarantine.SentRequest{
		Server: entry.ID + "." + strconv.FormatInt(entry.StartedMs, 36), Address: entry.Address, Pool: entry.Pool, Parts: c.parts(),
	}
}
