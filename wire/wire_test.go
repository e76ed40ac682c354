package wire

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSchemasAreJSON(t *testing.T) {
	entries, err := Schemas.ReadDir("schema")
	assert.NilError(t, err)
	for _, e := range entries {
		data, err := Schemas.ReadFile("schema/" + e.Name())
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(data), e.Name())
	}
}
