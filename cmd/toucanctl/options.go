package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// outputOptions holds the output format of a command.
type outputOptions struct {
	JSON bool `long:"json" description:"print as JSON"`
}

// print writes v to standard output as JSON, or calls writeText to write aligned columns.
func (o outputOptions) print(v any, writeText func(w io.Writer)) error {
	if !o.JSON {
		tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		writeText(tw)
		return tw.Flush()
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// objectAPIOptions holds the options of a command that calls the object API.
type objectAPIOptions struct {
	Objects string        `long:"objects" env:"TOUCAN_OBJECTS" value-name:"ADDR" description:"IP address and port of the object API"`
	Timeout time.Duration `long:"timeout" default:"20s" description:"longest time for all calls to the object API together"`
	As      string        `long:"as" value-name:"NAME" description:"operator who makes the change; $USER if not given"`
}

// errNoObjectAPI reports that the command needs the object API's address and none was given.
type errNoObjectAPI struct{}

func (errNoObjectAPI) Error() string {
	return "the address of the object API is needed: --objects ADDR or TOUCAN_OBJECTS"
}

// writer returns an operator.Writer and a context with the timeout for all its calls.
func (o objectAPIOptions) writer() (*operator.Writer, context.Context, context.CancelFunc, error) {
	if o.Objects == "" {
		return nil, nil, nil, errExit{exitUsage, errNoObjectAPI{}}
	}
	objects := &platform.Objects{Client: platform.Client{BaseURL: "http://" + o.Objects, Instance: "toucanctl"}}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	w := &operator.Writer{
		Objects:  objects.Store(),
		Log:      newLog(os.Stderr),
		Operator: operatorName(o.As),
	}
	return w, ctx, cancel, nil
}

// operatorName returns the name under which changes are recorded: the given one, else $USER,
// else "unknown".
func operatorName(as string) string { return cmp.Or(as, os.Getenv("USER"), "unknown") }

// newLog returns a logger that writes each event as one line of key=value pairs.
func newLog(w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.AddSync(w), zap.InfoLevel))
}

// instanceOptions holds the instances at which a change must come into force.
type instanceOptions struct {
	Instances []string      `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"address of an instance's operators' listener, to check that the change is in force there; repeat for each, or separate by commas"`
	Wait      time.Duration `long:"wait" default:"10s" description:"longest wait until the change is in force at all instances"`
}

// waitFor polls the instances until check succeeds at each or the wait ends. Without instances it returns at once.
func (o instanceOptions) waitFor(check operator.Check) ([]operator.InForce, error) {
	addrs := splitAddresses(o.Instances)
	if len(addrs) == 0 {
		return []operator.InForce{}, nil
	}
	watcher := &operator.Watcher{
		FetchStatus: func() ([]wire.Status, []string) { return fetchAll[wire.Status](addrs, "/status") },
		Wait:        o.Wait,
	}
	return watcher.WaitUntil(context.Background(), check)
}

// splitAddresses returns all addresses of comma-separated lists, without empty ones.
func splitAddresses(lists []string) []string {
	var addrs []string
	for _, list := range lists {
		addrs = append(addrs, strings.FieldsFunc(list, func(r rune) bool { return r == ',' })...)
	}
	return addrs
}

// writeInForce writes one row for each instance that was polled: whether the change is in force there, and which
// version or state the instance reports.
func writeInForce(w io.Writer, answers []operator.InForce) {
	if len(answers) == 0 {
		writeRow(w, "Not checked whether the change is in force: no instance was given by --instance.")
		return
	}
	writeRow(w, "INSTANCE", "DATA CENTRE", "IN FORCE", "HOLDS")
	for _, a := range answers {
		writeRow(w, a.Instance, cmp.Or(a.DataCentre, "-"), inForceText(a), a.Current)
	}
}

func inForceText(a operator.InForce) string {
	if a.NotAffected {
		return "elsewhere"
	}
	return yesNo(a.InForce)
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

// joinOr joins the names with commas; it returns fallback if there are none.
func joinOr(names []string, fallback string) string {
	if len(names) == 0 {
		return fallback
	}
	return strings.Join(names, ",")
}

// formatTime formats Unix milliseconds as RFC 3339 in UTC; 0 gives "-".
func formatTime(ms int) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprint(time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339))
}
