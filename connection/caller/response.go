package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request"
)

const (
	headerRetryAfter  = "Retry-After"
	headerShouldRetry = "X-Should-Retry"
	contentJSON       = "application/json"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

// modelInfo describes one model, in the format of the OpenAI API.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the caller's key may use or, if pathSuffix is /NAME, returns the model NAME.
func (s *Server) serveModels(c *call, pathSuffix string) error {
	if err := checkMethod(c, methodGet); err != nil {
		return err
	}
	names, err := s.Dispatcher.Models(s.requestMeta(c).Key)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: make([]modelInfo, 0, len(names))}
	for _, name := range names {
		info := modelInfo{ID: name, Object: "model", OwnedBy: "toucanroute"}
		if name == strings.TrimPrefix(pathSuffix, "/") {
			return c.w.json(http.StatusOK, info)
		}
		list.Data = append(list.Data, info)
	}
	if pathSuffix != "" && pathSuffix != "/" {
		return request.NewRefusal(http.StatusNotFound, request.CodeUnknownModel, "no such model")
	}
	return c.w.json(http.StatusOK, list)
}

// sendError sends an error to the caller: as the whole response, or as the last event of a stream that has already
// started.
func (s *Server) sendError(c *call, err error) {
	response := request.ResponseOf(err)
	if !c.dispatched {
		s.Log.Info("request_refused",
			zap.String("request_id", c.id),
			zap.Int("status", response.Status),
			zap.String("code", response.Code),
			zap.Bool("not_run", response.NotRun),
		)
	}
	if c.connGuard.isClosed() {
		return
	}
	if c.w.responseStarted {
		body, _ := json.Marshal(response.Body(c.id))
		c.w.writeErrorEvent(body)
		c.connGuard.closeAfterLinger()
		return
	}
	setErrorHeaders(c.w.Header(), response)
	_ = c.w.json(response.Status, response.Body(c.id))
}

// setErrorHeaders sets Retry-After if the request may be retried; otherwise it sets X-Should-Retry to false, so that
// clients don't retry on their own.
func setErrorHeaders(h http.Header, response request.ErrResponse) {
	if response.RetryAfter > 0 {
		h.Set(headerRetryAfter, retryAfterSeconds(response.RetryAfter))
		return
	}
	h.Set(headerShouldRetry, "false")
}

// writeRefusal writes an error response for a request that was not received completely.
func (s *Server) writeRefusal(conn net.Conn, refusal request.ErrResponse) {
	id := ulid.Make().String()
	s.Log.Info("input_refused",
		zap.String("request_id", id),
		zap.Int("status", refusal.Status),
		zap.String("code", refusal.Code),
		zap.String("remote", conn.RemoteAddr().String()),
	)
	body, err := json.Marshal(refusal.Body(id))
	if err != nil {
		return
	}
	res := http.Response{
		StatusCode:    refusal.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {contentJSON}, HeaderRequestID: {id}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	setErrorHeaders(res.Header, refusal)
	var b bytes.Buffer
	if res.Write(&b) == nil {
		_, _ = conn.Write(b.Bytes())
	}
}
