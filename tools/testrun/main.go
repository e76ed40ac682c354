// Command testrun runs `go test` and ignores exactly those failures that KNOWN-RED.txt lists. It prints each ignored
// failure, and each listed test that passes or didn't run.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// maxLineBytes is the maximum length of one line of go test's output, in bytes.
const maxLineBytes = 16 << 20

// options of the command line.
type options struct {
	Known string `long:"known-red" default:"KNOWN-RED.txt" description:"file that lists the known failures to ignore"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout))
}

// run runs go test with the remaining arguments and returns the exit code.
func run(args []string, out io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	parser.Usage = "[--known-red FILE] -- GO-TEST-ARGUMENT..."
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return exitUsage
	}
	known, err := readKnownFailures(opts.Known)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report := newReport(out)
	if err := runGoTest(ctx, rest, report); err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitFailed
	}
	if !report.printVerdict(known) {
		return exitFailed
	}
	return 0
}

// runGoTest runs go test and adds its events to testReport.
func runGoTest(ctx context.Context, args []string, testReport *testReport) error {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	readErr := readEvents(pipe, testReport)
	err = cmd.Wait()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) && exitErr.ExitCode() == exitFailed {
		testReport.goTestFailed = true
		err = nil
	}
	return errors.Join(readErr, err)
}

func readEvents(r io.Reader, testReport *testReport) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e testEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("go test -json: %w in %q", err, lines.Text())
		}
		testReport.add(e)
	}
	return lines.Err()
}
