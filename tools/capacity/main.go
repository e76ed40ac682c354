// Command capacity calculates what each daemon of a very large deployment, the target size, spends on control traffic,
// and rewrites the tables of docs/CAPACITY.md between their marker lines. The text around the tables is kept. It
// measures on this machine how the costs grow with the size, at sizes that fit the machine, and extrapolates from
// there.
//
// A pool is the set of backend servers of one model or service. In each data centre one instance, the home instance of
// the pool, runs its scheduler: other instances ask it for a grant, the permission to use a slot of a backend server
// for one request.
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

// measurements holds all measured figures.
type measurements struct {
	scheduler schedulerFigures
	links     linkFigures
	state     stateFigures
	platform  platformFigures
	processes processFigures
	// machineRows are the rows of the page's table about the machine, each with a name and a value, such as the number
	// of cores and the load averages.
	machineRows [][]string
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

// rewritePage runs all measurements and rewrites the page. It checks the page's markers first, before measuring.
func rewritePage(ctx context.Context, opts options) error {
	t := targetSize()
	file := filepath.Join(opts.Root, opts.Page)
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := fillPage(string(data), t, measurements{}); err != nil {
		return fmt.Errorf("%s: %w", opts.Page, err)
	}
	f, err := measureAll(ctx, t, opts.Root)
	if err != nil {
		return err
	}
	page, err := fillPage(string(data), t, f)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(page), 0o644)
}

// measureAll runs all measurements, one at a time.
func measureAll(ctx context.Context, t Target, root string) (measurements, error) {
	var f measurements
	loadBefore := loadAverage()
	var err error
	logProgress := newProgressLog()
	if f.scheduler, err = measureScheduler(t); err != nil {
		return f, err
	}
	logProgress("homes")
	f.state = measureState(ctx, t)
	logProgress("state")
	if f.links, err = measureLinks(ctx, t); err != nil {
		return f, err
	}
	logProgress("links")
	if f.platform, err = measurePlatform(ctx, t); err != nil {
		return f, err
	}
	logProgress("platform")
	if f.processes, err = measureProcesses(ctx, t, root); err != nil {
		return f, err
	}
	logProgress("processes")
	f.machineRows = [][]string{
		{"cores", formatNumber(float64(runtime.NumCPU()))},
		{"system and compiler", runtime.GOOS + "/" + runtime.GOARCH + ", " + runtime.Version()},
		{"load average before (1, 5, 15 min)", loadBefore},
		{"load average after", loadAverage()},
		{"repeats of each processor time; the median counts", formatNumber(repetitions)},
	}
	return f, nil
}

// newProgressLog returns a function that logs the duration of the step that has just ended.
func newProgressLog() func(step string) {
	stepStart := time.Now()
	return func(step string) {
		_, _ = fmt.Fprintf(os.Stderr, "capacity: %s measured in %s\n", step, time.Since(stepStart).Round(time.Second/10))
		stepStart = time.Now()
	}
}
