package objectapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// watch handles a long poll: it responds as soon as there are events after the version in the query parameter "from",
// or without events when the timeout has passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		s.refuse(w, http.StatusBadRequest, wire.ObjectErrorCodeBadRequest, "from is no version")
		return
	}
	s.callStats.addWaitingWatches(1)
	defer s.callStats.addWaitingWatches(-1)
	timeout := time.NewTimer(watchTimeout(r))
	defer timeout.Stop()
	for {
		faultsChanged := s.faults.Changed()
		changed := s.store.changeSignal()
		if f := s.faults.Get(); f.Down || f.IsCutOff(r) {
			web.AbortConnection()
		}
		events, ok := s.store.eventsAfter(r.PathValue("kind"), from)
		if !ok {
			s.refuse(w, http.StatusGone, wire.ObjectErrorCodeTooOld, "the history does not reach back to the version")
			return
		}
		if len(events.Events) > 0 {
			web.WriteJSON(w, http.StatusOK, events)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout.C:
			web.WriteJSON(w, http.StatusOK, events)
			return
		case <-r.Context().Done():
			return
		}
	}
}
