package mesh

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Objects are asked first of the readers that have the newest ones, wherever they are.
func TestReadersWithNewestListAreAskedFirst(t *testing.T) {
	all := instancesOf(4)
	all[3].DataCentre = "other"
	m := meshOf("i0", all)
	for name, p := range m.peers {
		p.isReader, p.config, p.servers = true, 3, 7
		if name == "i3" {
			p.servers = 9
		}
	}
	assert.DeepEqual(t, m.ServerReaders(), []string{"10.0.0.4:1", "10.0.0.2:1", "10.0.0.3:1"})
	assert.DeepEqual(t, m.ConfigReaders(), []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"})
	m.peers["i2"].config = 4
	assert.DeepEqual(t, m.ConfigReaders(), []string{"10.0.0.3:1", "10.0.0.2:1", "10.0.0.4:1"})
	m.peers["i2"].storeUnreachable = true
	assert.DeepEqual(t, m.ConfigReaders(), []string{"10.0.0.2:1", "10.0.0.4:1"})
}
