package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestQuarantineIsLifted(t *testing.T) {
	lifted := ""
	s := &Server{Log: zap.NewNop(), LiftQuarantine: func(id string) bool { lifted = id; return id == "281fee6b5cce4747" }}
	for _, tt := range []struct {
		method, id string
		status     int
	}{
		{http.MethodDelete, "281fee6b5cce4747", http.StatusNoContent},
		{http.MethodDelete, "unknown", http.StatusNotFound},
		{http.MethodGet, "281fee6b5cce4747", http.StatusMethodNotAllowed},
	} {
		w := httptest.NewRecorder()
		s.handler().ServeHTTP(w, httptest.NewRequest(tt.method, "/quarantines/"+tt.id, http.NoBody))
		assert.Equal(t, w.Code, tt.status)
	}
	assert.Equal(t, lifted, "unknown")
	w := httptest.NewRecorder()
	(&Server{Log: zap.NewNop()}).handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/quarantines/a", http.NoBody))
	assert.Equal(t, w.Code, http.StatusNotFound)
}
