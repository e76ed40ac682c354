package main

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// module is left out of the names of tests.
const module = "github.com/toucanroute/toucanroute/"

// Actions of go test's events.
const (
	actionRun    = "run"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
	actionOutput = "output"
)

// frame matches the lines that go test itself writes about a test.
var frame = regexp.MustCompile(`^\s*(=== |--- |$)`)

// event is one event of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// result is what a test or, without a test's name, a package came to.
type result struct {
	name   string
	pkg    string
	test   string
	action string
	output []string
}

// report gathers events and judges them.
type report struct {
	out io.Writer
	// hasFailed tells that go test itself reported a failure.
	hasFailed bool
	// results in order of their first event.
	results []*result
	byName  map[string]*result
}

func newReport(out io.Writer) *report {
	return &report{out: out, byName: map[string]*result{}}
}

// add takes in an event; packages are printed as they end.
func (r *report) add(e event) {
	if e.Package == "" {
		_, _ = io.WriteString(r.out, e.Output)
		return
	}
	res := r.result(e)
	switch e.Action {
	case actionOutput:
		res.output = append(res.output, e.Output)
	case actionPass, actionFail, actionSkip:
		res.action = e.Action
		if e.Test == "" {
			_, _ = fmt.Fprintf(r.out, "%s %s\n", e.Action, e.Package)
		}
	case actionRun:
		res.action = actionRun
	}
}

func (r *report) result(e event) *result {
	name := strings.TrimPrefix(e.Package, module)
	if e.Test != "" {
		name += "." + e.Test
	}
	res := r.byName[name]
	if res == nil {
		res = &result{name: name, pkg: e.Package, test: e.Test}
		r.byName[name] = res
		r.results = append(r.results, res)
	}
	return res
}

// verdict prints the failures and tells whether all are known.
func (r *report) verdict(known []knownRed) bool {
	ok := true
	explained := false
	for _, res := range r.results {
		if !res.failed() {
			continue
		}
		explained = true
		entry := slices.IndexFunc(known, func(k knownRed) bool { return k.test == res.name })
		switch {
		case r.isConsequence(res):
		case res.test != "" && entry >= 0 && res.action == actionFail:
			k := known[entry]
			r.printf("KNOWN-RED %s: %s (%s, issue %s)\n", k.test, k.seen, k.command, k.issue)
		default:
			ok = false
			r.printf("FAILED %s\n%s", res.name, strings.Join(res.output, ""))
		}
	}
	r.reviewKnown(known)
	r.printSkipped()
	return ok && (explained || !r.hasFailed)
}

// failed tells whether the result is a failure; a test that never ended is one.
func (res *result) failed() bool {
	return res.action == actionFail || res.test != "" && res.action == actionRun
}

// isConsequence tells whether a package or a parent test failed only since a test below it did.
func (r *report) isConsequence(res *result) bool {
	if res.action != actionFail || !r.hasFailedBelow(res) {
		return false
	}
	if res.test == "" {
		return !slices.ContainsFunc(res.output, isCrash)
	}
	return !slices.ContainsFunc(res.output, func(line string) bool { return !frame.MatchString(line) })
}

// isCrash tells whether a package's line shows that its tests did not all run.
func isCrash(line string) bool {
	return strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") ||
		strings.HasPrefix(line, "signal: ")
}

func (r *report) hasFailedBelow(parent *result) bool {
	return slices.ContainsFunc(r.results, func(res *result) bool {
		if res == parent || res.pkg != parent.pkg || !res.failed() {
			return false
		}
		return parent.test == "" || strings.HasPrefix(res.test, parent.test+"/")
	})
}

// reviewKnown prints the entries whose test passes or did not run.
func (r *report) reviewKnown(known []knownRed) {
	for _, k := range known {
		res := r.byName[k.test]
		if res == nil {
			r.printf("KNOWN-RED %s: not run\n", k.test)
			continue
		}
		if res.action == actionPass {
			r.printf("KNOWN-RED %s: passes now, take the entry out\n", k.test)
		}
	}
}

func (r *report) printSkipped() {
	for _, res := range r.results {
		if res.test != "" && res.action == actionSkip {
			r.printf("SKIPPED %s\n", res.name)
		}
	}
}

func (r *report) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format, args...)
}
