package streamorigin

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestTableRemembersOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table Table
		_, ok := table.Find("a")
		assert.Assert(t, !ok)
		table.Add("a", Origin{"p", "v1"})
		table.Add("a", Origin{"p", "v2"})
		got, ok := table.Find("a")
		assert.Assert(t, ok)
		assert.Equal(t, got, Origin{"p", "v1"}, "the origin of a known id must not change")
		time.Sleep(retention)
		_, ok = table.Find("a")
		assert.Assert(t, ok)
		time.Sleep(time.Second)
		_, ok = table.Find("a")
		assert.Assert(t, !ok)
		table.Add("a", Origin{"p", "v2"})
		got, ok = table.Find("a")
		assert.Assert(t, ok && got.Version == "v2", "an expired id is free again")
	})
}

func TestTableIsBounded(t *testing.T) {
	var table Table
	table.Add("", Origin{"p", "v1"})
	table.Add(strings.Repeat("x", maxIDBytes+1), Origin{"p", "v1"})
	table.Add("none", Origin{})
	assert.Assert(t, table.records == nil, "ids and origins that can't be used take no memory")
	for i := range 2 * maxOrigins {
		table.Add(fmt.Sprint(i), Origin{"p", "v1"})
	}
	assert.Equal(t, table.records.Len(), maxOrigins)
	_, ok := table.Find("0")
	assert.Assert(t, !ok)
	_, ok = table.Find(fmt.Sprint(2*maxOrigins - 1))
	assert.Assert(t, ok)
}
