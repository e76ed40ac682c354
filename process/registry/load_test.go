package registry

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// Of the load reports that can't be read, one line is written for each server, and no more of the text than it needs.
func TestUnreadLoadIsLoggedOnce(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	r := &Registry{Log: zap.New(core)}
	for _, id := range []string{"a", "b"} {
		r.Put(Entry{ID: id, Pool: "p"})
	}
	for range 3 {
		for _, srv := range r.Servers() {
			srv.Begin(0).RecordUnreadLoad(strings.Repeat("7,", 1000))
		}
	}
	assert.Equal(t, lines.FilterMessage("load_unreadable").Len(), 2)
	assert.Equal(t, len(lines.All()[0].ContextMap()["report"].(string)), maxLoggedReport)
}
