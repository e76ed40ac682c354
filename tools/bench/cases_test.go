package main

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/version/questionnaire"
)

// Each surge names a class or workspace of its deployment; a wrong name would surge nothing.
func TestCasesFitTheirDeployments(t *testing.T) {
	seen := map[string]bool{}
	for _, bc := range cases() {
		assert.Assert(t, !seen[bc.name], bc.name)
		seen[bc.name] = true
		q, err := questionnaire.Load(filepath.Join("..", "..", bc.questionnaire))
		assert.NilError(t, err)
		var names []string
		for _, c := range q.Classes {
			names = append(names, "class="+c.Name)
		}
		for _, w := range q.Workspaces {
			names = append(names, "workspace="+w.Name)
		}
		for _, surge := range bc.surges {
			who, _, _ := strings.Cut(surge, ",")
			assert.Assert(t, slices.Contains(names, who), "%s: %s", bc.name, who)
		}
		for _, f := range bc.faults {
			assert.Assert(t, f.at >= 0 && f.at < 1, bc.name)
		}
	}
}

func TestSpeedQuestionnaire(t *testing.T) {
	q, err := questionnaire.Parse("speed.jsonc", speedQuestionnaire)
	assert.NilError(t, err)
	assert.Equal(t, q.Workspaces[0].Name, speedWorkspace)
	assert.Assert(t, q.Models[0].Servers[0].AtOnce >= 2000)
}

func TestQuantile(t *testing.T) {
	tg := &target{}
	for i := range 100 {
		tg.times = append(tg.times, time.Duration(100-i))
	}
	assert.Equal(t, tg.quantile(50), time.Duration(51))
	assert.Equal(t, tg.quantile(99), time.Duration(100))
}
