package forward

import (
	"fmt"
	"net/http"
	"slices"

	"go.uber.org/zap"
)

// notRunStatuses are the statuses by which a caller takes its request for not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// errNotStated is the error of an attempt whose server answered with one of notRunStatuses, but without the header that
// states that the request hasn't run.
type errNotStated struct {
	// status is the status of the server's response.
	status int
}

func (e errNotStated) Error() string {
	return fmt.Sprintf("the backend server answered %d and doesn't state whether the request has run", e.status)
}

// isFalsePromise reports whether a response must not reach the caller since its status would promise that a request
// which may have run, and may not be repeated, hasn't run.
func (c *call) isFalsePromise(resp *http.Response, meta ResponseMeta) bool {
	return !meta.NotRun && !c.route.MayRepeat() && slices.Contains(notRunStatuses, resp.StatusCode)
}

// logImpliedRejection writes that a server's status implies that the request hasn't run, while the server doesn't state
// that.
func (c *call) logImpliedRejection(resp *http.Response) {
	if !slices.Contains(notRunStatuses, resp.StatusCode) {
		return
	}
	c.f.Log.Info("rejection_not_stated",
		zap.String("request_id", c.meta.ID),
		zap.String("server", c.serverID),
		zap.String("relayed_to", c.relayedTo),
		zap.Int("status", resp.StatusCode),
		zap.Bool("may_repeat", c.route.MayRepeat()),
	)
}
