package main

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// modulePrefix is removed from the package paths in test names.
const modulePrefix = "github.com/toucanroute/toucanroute/"

// Values of testEvent.Action that are evaluated.
const (
	actionRun    = "run"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
	actionOutput = "output"
)

// goTestLine matches output lines that go test itself writes about a test, as opposed to the test's own output.
var goTestLine = regexp.MustCompile(`^\s*(=== |--- |$)`)

// testEvent is one event of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testResult is the result of a test or, with an empty test name, of a package.
type testResult struct {
	// name is the package path below the module, followed for a test by a dot and the test's name.
	name string
	// pkg is the whole package path, and test the name of the test.
	pkg  string
	test string
	// action is the last of the actions run, pass, fail and skip.
	action string
	// output holds the lines that go test printed about the test.
	output []string
}

// testReport collects the events of go test and decides whether the run passed.
type testReport struct {
	out io.Writer
	// goTestFailed is set if go test exited with its status for failed tests.
	goTestFailed bool
	// results are in the order of their first event.
	results []*testResult
	byName  map[string]*testResult
}

func newReport(out io.Writer) *testReport {
	return &testReport{out: out, byName: map[string]*testResult{}}
}

// add processes an event. A package's result is printed when the package ends.
func (r *testReport) add(e testEvent) {
	if e.Package == "" {
		_, _ = io.WriteString(r.out, e.Output)
		return
	}
	res := r.testResult(e)
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

func (r *testReport) testResult(e testEvent) *testResult {
	name := strings.TrimPrefix(e.Package, modulePrefix)
	if e.Test != "" {
		name += "." + e.Test
	}
	res := r.byName[name]
	if res == nil {
		res = &testResult{name: name, pkg: e.Package, test: e.Test}
		r.byName[name] = res
		r.results = append(r.results, res)
	}
	return res
}

// printVerdict prints the failures and reports whether all of them are known.
func (r *testReport) printVerdict(known []knownFailure) bool {
	passed := true
	hasFailedResult := false
	for _, res := range r.results {
		if !res.failed() {
			continue
		}
		hasFailedResult = true
		knownIndex := slices.IndexFunc(known, func(entry knownFailure) bool { return entry.test == res.name })
		switch {
		case r.failedOnlyBelow(res):
		case res.test != "" && knownIndex >= 0 && res.action == actionFail:
			entry := known[knownIndex]
			r.printf("KNOWN-RED %s: %s (%s, issue %s)\n", entry.test, entry.observed, entry.command, entry.issue)
		default:
			passed = false
			r.printf("FAILED %s\n%s", res.name, strings.Join(res.output, ""))
		}
	}
	r.printUnneededEntries(known)
	r.printSkipped()
	return passed && (hasFailedResult || !r.goTestFailed)
}

// failed reports whether the result is a failure. A test that started and never ended counts as failed.
func (res *testResult) failed() bool {
	return res.action == actionFail || res.test != "" && res.action == actionRun
}

// failedOnlyBelow reports whether a package or a parent test failed only because one of its tests or subtests failed,
// so that its own failure needs no entry in the list of known failures.
func (r *testReport) failedOnlyBelow(res *testResult) bool {
	if res.action != actionFail || !r.hasFailedBelow(res) {
		return false
	}
	if res.test == "" {
		return !slices.ContainsFunc(res.output, isCrash)
	}
	return !slices.ContainsFunc(res.output, func(line string) bool { return !goTestLine.MatchString(line) })
}

// isCrash reports whether a line of a package's output shows that the test binary crashed before all tests had run.
func isCrash(line string) bool {
	return strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") ||
		strings.HasPrefix(line, "signal: ")
}

func (r *testReport) hasFailedBelow(parent *testResult) bool {
	return slices.ContainsFunc(r.results, func(res *testResult) bool {
		if res == parent || res.pkg != parent.pkg || !res.failed() {
			return false
		}
		return parent.test == "" || strings.HasPrefix(res.test, parent.test+"/")
	})
}

// printUnneededEntries prints the entries of the list of known failures whose test passes now or did not run.
func (r *testReport) printUnneededEntries(known []knownFailure) {
	for _, k := range known {
		res := r.byName[k.test]
		if res == nil {
			r.printf("KNOWN-RED %s: not run\n", k.test)
			continue
		}
		if res.action == actionPass {
			r.printf("KNOWN-RED %s: passes now, remove the entry\n", k.test)
		}
	}
}

func (r *testReport) printSkipped() {
	for _, res := range r.results {
		if res.test != "" && res.action == actionSkip {
			r.printf("SKIPPED %s\n", res.name)
		}
	}
}

func (r *testReport) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format, args...)
}
