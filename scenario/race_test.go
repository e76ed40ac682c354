package scenario

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// Texts in the reports of the race detector.
const (
	raceTitle = "WARNING: DATA RACE"
	raceEnd   = "=================="
	// raceOrigin begins the part of a report that shows where the goroutines were created.
	raceOrigin = "Goroutine "
)

// accessPattern matches the line before the stack of each of the two memory accesses in a report.
var accessPattern = regexp.MustCompile(`(?m)^(Read|Write|Previous read|Previous write) at .*$`)

// Functions of the network library nbio. The goroutine that runs nbioAcceptLoop accepts connections and hands each over
// to a poller, whose goroutine runs nbioReadLoop. The race detector reports this handover; see isNbioFalsePositive.
const (
	nbioAcceptLoop = "github.com/lesismal/nbio/nbhttp.(*Engine).listen.func1()"
	nbioReadLoop   = "github.com/lesismal/nbio.(*poller).readWriteLoop()"
)

// firstRace returns the first report of a data race in a log, without the false positives that isNbioFalsePositive
// recognizes.
func firstRace(log string) (string, bool) {
	reports := strings.Split(log, raceTitle)
	for _, report := range reports[1:] {
		report, _, _ = strings.Cut(report, raceEnd)
		if !isNbioFalsePositive(report) {
			return report, true
		}
	}
	return "", false
}

// isNbioFalsePositive reports whether a race report is a known false positive in nbio. The accepting goroutine sets up
// the data of a connection before it adds the connection to a poller, and the poller reads the data after the first
// event of the connection. The kernel orders the two accesses by epoll_ctl and epoll_wait, but the race detector
// doesn't know that these calls order them. It sees the order only if the other end of the connection is in the same
// process.
func isNbioFalsePositive(report string) bool {
	report, _, _ = strings.Cut(report, "\n"+raceOrigin)
	report = regexp.MustCompile(`(?m)^ +`).ReplaceAllString(report, "")
	report, _, _ = strings.Cut(report, "\n"+raceOrigin)
	kinds := accessPattern.FindAllString(report, -1)
	stacks := accessPattern.Split(report, -1)
	if len(kinds) != 2 || len(stacks) != 3 {
		return false
	}
	isRead := strings.HasPrefix(kinds[0], "Read") && bottomFunction(stacks[1]) == nbioReadLoop
	return isRead && strings.HasPrefix(kinds[1], "Previous write") && bottomFunction(stacks[2]) == nbioAcceptLoop
}

// bottomFunction returns the outermost function of a goroutine's stack.
func bottomFunction(stack string) string {
	lines := strings.Split(strings.TrimSpace(stack), "\n")
	if len(lines) < 2 {
		return ""
	}
	return lines[len(lines)-2]
}

// raceReport returns a report in the race detector's format, with the bottom functions of the reading and the writing
// goroutine.
func raceReport(read, write string) string {
	return raceTitle + "\nRead at 0x1 by goroutine 7:\n  net.f()\n      /net.go:1 +0x1\n  " + read +
		"\n      /a.go:1 +0x1\n\nPrevious write at 0x1 by goroutine 8:\n  syscall.f()\n      /s.go:1 +0x1\n  " + write +
		"\n      /b.go:1 +0x1\n\nGoroutine 7 (running) created at:\n  x()\n      /c.go:1 +0x1\n" + raceEnd + "\n"
}

// TestFirstRace checks that only the false positive of nbio's handover of connections is ignored: a race is found if it
// follows such a report, or if only one of its two stacks is that of the handover.
func TestFirstRace(t *testing.T) {
	falsePositive := raceReport(nbioReadLoop, nbioAcceptLoop)
	for name, tt := range map[string]struct {
		log  string
		want bool
	}{
		"none":                {"ready", false},
		"handover":            {falsePositive + falsePositive, false},
		"other reader":        {raceReport("main.run()", nbioAcceptLoop), true},
		"other writer":        {raceReport(nbioReadLoop, "main.run()"), true},
		"swapped":             {raceReport(nbioAcceptLoop, nbioReadLoop), true},
		"race after handover": {falsePositive + raceReport("main.a()", "main.b()"), true},
		"writer first":        {strings.Replace(strings.Replace(falsePositive, "Read at", "Write at", 1), "Previous write", "Previous read", 1), true},
		"cut-off report":      {raceTitle + "\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			_, got := firstRace(tt.log)
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestRaceReportsAreApart checks that the report of a process that writes log lines meanwhile contains none of them, and
// that its log contains no report.
func TestRaceReportsAreApart(t *testing.T) {
	racer := filepath.Join(t.TempDir(), "racer")
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "build", "-race", "-o", racer, "./testdata/racer")
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Run())
	s := newSession(&testscript.Env{WorkDir: t.TempDir(), Vars: os.Environ()})
	assert.NilError(t, s.start([]string{"racer", racer}, io.Discard))
	p, err := s.process("racer")
	assert.NilError(t, err)
	assert.NilError(t, p.waitFor(terminateTimeout))
	reports, err := p.raceReports()
	assert.NilError(t, err)
	report, found := firstRace(reports)
	assert.Assert(t, found && strings.Contains(report, "Previous "), reports)
	assert.Assert(t, !strings.Contains(reports, "msg=log"), reports)
	assert.Assert(t, !strings.Contains(p.out.String(), raceTitle))
}
