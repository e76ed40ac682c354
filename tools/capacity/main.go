// Command capacity measures on this machine how the costs of the roles grow, works them out for the size ahead and
// rewrites the tables of docs/CAPACITY.md between their marker lines. The prose around is kept.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options of the command line.
type options struct {
	Root string `long:"root" default:"." description:"directory of the source tree"`
	Page string `long:"page" default:"docs/CAPACITY.md" description:"page whose tables are rewritten, below the root"`
}

// figures are all that is measured.
type figures struct {
	home     homeFigures
	link     linkFigures
	state    stateFigures
	platform platformFigures
	process  processFigures
	// machine has the cores and the load averages before and after.
	machine [][]string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, rewrites the page and returns the exit code.
func run(args []string) int {
	var opts options
	_, err := flags.NewParser(&opts, flags.Default).ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return 0
	}
	if err != nil {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := rewritePage(ctx, opts); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "capacity:", err)
		return exitFailed
	}
	return 0
}

// rewritePage measures all and rewrites the page; a page with a faulty marker is found before.
func rewritePage(ctx context.Context, opts options) error {
	t := target()
	file := filepath.Join(opts.Root, opts.Page)
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := fill(string(data), t, figures{}); err != nil {
		return fmt.Errorf("%s: %w", opts.Page, err)
	}
	f, err := measure(ctx, t, opts.Root)
	if err != nil {
		return err
	}
	page, err := fill(string(data), t, f)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(page), 0o644)
}

// measure runs all measurements, one after the other.
func measure(ctx context.Context, t Target, root string) (figures, error) {
	var f figures
	before := loadAverage()
	var err error
	progress := newProgress()
	if f.home, err = measureHome(t); err != nil {
		return f, err
	}
	progress("homes")
	f.state = measureState(ctx, t)
	progress("state")
	if f.link, err = measureLinks(ctx, t); err != nil {
		return f, err
	}
	progress("links")
	if f.platform, err = measurePlatform(ctx, t); err != nil {
		return f, err
	}
	progress("platform")
	if f.process, err = measureProcesses(ctx, t, root); err != nil {
		return f, err
	}
	progress("processes")
	f.machine = [][]string{
		{"cores", number(float64(runtime.NumCPU()))},
		{"system and compiler", runtime.GOOS + "/" + runtime.GOARCH + ", " + runtime.Version()},
		{"load average before (1, 5, 15 min)", before},
		{"load average after", loadAverage()},
		{"repeats of each processor time; the median counts", number(repeats)},
	}
	return f, nil
}

// newProgress returns a function that tells how long the step that has just ended took.
func newProgress() func(step string) {
	last := time.Now()
	return func(step string) {
		_, _ = fmt.Fprintf(os.Stderr, "capacity: %s measured in %s\n", step, time.Since(last).Round(time.Second/10))
		last = time.Now()
	}
}
