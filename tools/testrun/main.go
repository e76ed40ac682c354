// Command testrun runs `go test` and passes over the failures that KNOWN-RED.txt lists, and over nothing else. It
// prints each of them, and those that are listed but pass.
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

// maxLine bounds one line of go test's output, in bytes.
const maxLine = 16 << 20

// options of the command line.
type options struct {
	Known string `long:"known-red" default:"KNOWN-RED.txt" description:"list of the failures to pass over"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout))
}

// run runs go test with args and returns the exit code.
func run(args []string, out io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	parser.Usage = "[--known-red FILE] -- GO-TEST-ARGUMENT..."
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return exitUsage
	}
	known, err := readKnown(opts.Known)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report := newReport(out)
	if err := goTest(ctx, rest, report); err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitFailed
	}
	if !report.verdict(known) {
		return exitFailed
	}
	return 0
}

// goTest feeds the events of go test to report.
func goTest(ctx context.Context, args []string, report *report) error {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	readErr := readEvents(pipe, report)
	err = cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitFailed {
		report.hasFailed = true
		err = nil
	}
	return errors.Join(readErr, err)
}

func readEvents(r io.Reader, report *report) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("go test -json: %w in %q", err, lines.Text())
		}
		report.add(e)
	}
	return lines.Err()
}
