package dispatch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/request"
)

// crashInterval is the time within which the crashes of one server count as one. An engine keeps its name when it starts
// again, which takes longer.
const crashInterval = 2 * time.Second

// checkQuarantine returns an error if engines crash under the prompt.
func (s *stream) checkQuarantine() error {
	if s.d.Quarantine == nil {
		return nil
	}
	refusal, refused := s.d.Quarantine.Check(s.completion.Parts())
	if !refused {
		return nil
	}
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeQuarantined, Message: "engines crash under this prompt",
		NotRun: !s.maybeSent, RetryAfter: refusal.RetryAfter,
	}
}

// reportToQuarantine reports the end of an attempt at a server: the prompt was answered, or the server may have crashed
// under it.
func (s *stream) reportToQuarantine(server string, a *request.Attempt, err error) {
	switch {
	case s.d.Quarantine == nil:
	case err == nil:
		s.d.Quarantine.RecordAnswered(s.completion.Parts())
	case quarantine.IsSuspect(err, s.firstTokenAt):
		s.d.Quarantine.ReportLost(quarantine.SentRequest{
			Server: server + "." + strconv.FormatInt(time.Now().UnixMilli()/crashInterval.Milliseconds(), 36), Address: a.Address,
			Pool: s.authorization.Route.Pool, Parts: s.completion.Parts(),
		})
	}
}
