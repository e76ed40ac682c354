package scenario

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Marks of the race detector's reports.
const (
	raceTitle = "WARNING: DATA RACE"
	raceEnd   = "=================="
	// raceOrigin begins the part of a report that tells where the goroutines came from.
	raceOrigin = "Goroutine "
)

// access begins the stack of one of a report's two accesses.
var access = regexp.MustCompile(`(?m)^(Read|Write|Previous read|Previous write) at .*$`)

// Functions of nbio at the bottom of the stacks of a handover.
const (
	acceptLoop = "github.com/lesismal/nbio/nbhttp.(*Engine).listen.func1()"
	readLoop   = "github.com/lesismal/nbio.(*poller).readWriteLoop()"
)

// firstRace returns the first data race that a log reports, but for handovers.
func firstRace(log string) (string, bool) {
	reports := strings.Split(log, raceTitle)
	for _, report := range reports[1:] {
		report, _, _ = strings.Cut(report, raceEnd)
		if !isHandover(report) {
			return report, true
		}
	}
	return "", false
}

// isHandover tells whether a report is of nbio's accepting goroutine that writes a connection before it adds it to a
// poller, and of the poller that reads it after the first event. The kernel orders the two by epoll_ctl and
// epoll_wait, which the race detector does not know; it sees the order only where the peer is in the same process.
func isHandover(report string) bool {
	report, _, _ = strings.Cut(report, "\n"+raceOrigin)
	report = regexp.MustCompile(`(?m)^ +`).ReplaceAllString(report, "")
	report, _, _ = strings.Cut(report, "\n"+raceOrigin)
	kinds := access.FindAllString(report, -1)
	stacks := access.Split(report, -1)
	if len(kinds) != 2 || len(stacks) != 3 {
		return false
	}
	isRead := strings.HasPrefix(kinds[0], "Read") && bottom(stacks[1]) == readLoop
	return isRead && strings.HasPrefix(kinds[1], "Previous write") && bottom(stacks[2]) == acceptLoop
}

// bottom returns the first function called on a goroutine's stack.
func bottom(stack string) string {
	lines := strings.Split(strings.TrimSpace(stack), "\n")
	if len(lines) < 2 {
		return ""
	}
	return lines[len(lines)-2]
}

// raceReport builds a report as the race detector writes it.
func raceReport(read, write string) string {
	return raceTitle + "\nRead at 0x1 by goroutine 7:\n  net.f()\n      /net.go:1 +0x1\n  " + read +
		"\n      /a.go:1 +0x1\n\nPrevious write at 0x1 by goroutine 8:\n  syscall.f()\n      /s.go:1 +0x1\n  " + write +
		"\n      /b.go:1 +0x1\n\nGoroutine 7 (running) created at:\n  x()\n      /c.go:1 +0x1\n" + raceEnd + "\n"
}

// Only a handover is passed over, also where a real race follows it or shares one of its sides.
func TestFirstRace(t *testing.T) {
	handover := raceReport(readLoop, acceptLoop)
	for name, tt := range map[string]struct {
		log  string
		want bool
	}{
		"none":           {"ready", false},
		"handover":       {handover + handover, false},
		"other reader":   {raceReport("main.run()", acceptLoop), true},
		"other writer":   {raceReport(readLoop, "main.run()"), true},
		"swapped":        {raceReport(acceptLoop, readLoop), true},
		"race behind":    {handover + raceReport("main.a()", "main.b()"), true},
		"writer first":   {strings.Replace(strings.Replace(handover, "Read at", "Write at", 1), "Previous write", "Previous read", 1), true},
		"cut-off report": {raceTitle + "\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			_, got := firstRace(tt.log)
			assert.Equal(t, got, tt.want)
		})
	}
}
