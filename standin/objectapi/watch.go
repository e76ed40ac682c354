package objectapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// watch answers when there are events after the asked version or the timeout has passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		s.refuse(w, http.StatusBadRequest, wire.ObjectErrorCodeBadRequest, "from is no version")
		return
	}
	s.counts.watching(1)
	defer s.counts.watching(-1)
	timeout := time.NewTimer(watchTimeout(r))
	defer timeout.Stop()
	for {
		faultsChanged := s.faults.Changed()
		changed := s.store.changes()
		if f := s.faults.Get(); f.Down || f.Cuts(r) {
			web.Drop()
		}
		events, ok := s.store.after(r.PathValue("kind"), from)
		if !ok {
			s.refuse(w, http.StatusGone, wire.ObjectErrorCodeTooOld, "the history does not reach back to the version")
			return
		}
		if len(events.Events) > 0 {
			web.Write(w, http.StatusOK, events)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout.C:
			web.Write(w, http.StatusOK, events)
			return
		case <-r.Context().Done():
			return
		}
	}
}
