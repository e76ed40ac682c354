package reference

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestPagesAreCurrent fails where a schema changed and its page in docs didn't; go test -update writes them.
func TestPagesAreCurrent(t *testing.T) {
	for _, name := range Names() {
		page, err := Page(name)
		assert.NilError(t, err)
		golden.Assert(t, page, "../../../docs/"+strings.ToUpper(name)+".md")
	}
}

func TestPageOfUnknown(t *testing.T) {
	_, err := Page("weather")
	assert.ErrorContains(t, err, "read schema")
}
