package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is a writer that is held up until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	text strings.Builder
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func TestOutputHoldsNobodyUp(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	o := newOutput(g)
	before := linesLeftOut.Get()
	for i := range 2 * outputLines {
		_, err := fmt.Fprintf(o, "line %d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, linesLeftOut.Get()-before >= outputLines-1)
	close(g.open)
	assert.NilError(t, o.Sync())
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, strings.HasPrefix(g.text.String(), "line 0\nline 1\n"))
}
