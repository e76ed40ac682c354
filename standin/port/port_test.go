package port

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A block that holds a port in use is passed over, and two blocks have no port in common.
func TestReserve(t *testing.T) {
	a, err := Reserve()
	assert.NilError(t, err)
	defer a.Free()
	ln, err := listen(a.Port(stride + BlockSize - 1))
	if err == nil {
		defer func() { _ = ln.Close() }()
	}
	b, err := Reserve()
	assert.NilError(t, err)
	defer b.Free()
	distance := b.first - a.first
	assert.Assert(t, distance != stride, "took the block with a port in use")
	assert.Equal(t, distance%stride, 0)
	for i := range BlockSize {
		ln, err := listen(b.Port(i))
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
	}
}
