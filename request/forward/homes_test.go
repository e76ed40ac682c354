package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Homes name regions or data centres; those of the route and of the workspace both bind.
func TestHomeDataCentres(t *testing.T) {
	regions := map[string]string{"a1": "north", "a2": "north", "b1": "south", "c1": ""}
	for _, tt := range []struct {
		route, workspace []string
		want             map[string]bool
	}{
		{nil, nil, nil},
		{[]string{}, []string{}, nil},
		{[]string{"north"}, nil, map[string]bool{"a1": true, "a2": true}},
		{nil, []string{"south", "a2"}, map[string]bool{"b1": true, "a2": true}},
		{[]string{"north"}, []string{"south", "a2"}, map[string]bool{"a2": true}},
		{[]string{"north"}, []string{"south"}, map[string]bool{}},
		{[]string{"nowhere"}, nil, map[string]bool{}},
		{[]string{"c1"}, nil, map[string]bool{"c1": true}},
		{[]string{""}, nil, map[string]bool{}},
		{[]string{"", "south"}, nil, map[string]bool{"b1": true}},
	} {
		assert.DeepEqual(t, HomeDataCentres(regions, tt.route, tt.workspace), tt.want)
	}
}
