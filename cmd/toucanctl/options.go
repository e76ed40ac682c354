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

// outputOptions choose the form of the answer.
type outputOptions struct {
	JSON bool `long:"json" description:"print the answer as JSON"`
}

// print writes v as JSON or calls text.
func (o outputOptions) print(v any, text func(w io.Writer)) error {
	if !o.JSON {
		tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		text(tw)
		return tw.Flush()
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// objectOptions lead to the object API.
type objectOptions struct {
	Objects string        `long:"objects" env:"TOUCAN_OBJECTS" value-name:"ADDR" description:"IP address and port of the object API"`
	Timeout time.Duration `long:"timeout" default:"20s" description:"time for all calls of the object API"`
	As      string        `long:"as" value-name:"NAME" description:"operator who makes the change; $USER where it isn't given"`
}

// errNoObjects is the error of a command that needs the object API's address.
type errNoObjects struct{}

func (errNoObjects) Error() string {
	return "the address of the object API is needed: --objects ADDR or TOUCAN_OBJECTS"
}

// writer returns the operator's writer and a context that bounds its calls.
func (o objectOptions) writer() (*operator.Writer, context.Context, context.CancelFunc, error) {
	if o.Objects == "" {
		return nil, nil, nil, errExit{exitUsage, errNoObjects{}}
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

// operatorName returns who makes a change.
func operatorName(as string) string { return cmp.Or(as, os.Getenv("USER"), "unknown") }

// newLog returns a logger of one key=value line for each event.
func newLog(w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.AddSync(w), zap.InfoLevel))
}

// instanceOptions name the instances that are asked what is in force.
type instanceOptions struct {
	Instances []string      `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"operators' address of an instance, to ask what is in force there; repeat for each, or separate by commas"`
	Wait      time.Duration `long:"wait" default:"10s" description:"time for the change to come into force at each instance"`
}

// until asks the instances until check holds at each; without instances it asks none.
func (o instanceOptions) until(check operator.Check) ([]operator.InForce, error) {
	addrs := split(o.Instances)
	if len(addrs) == 0 {
		return []operator.InForce{}, nil
	}
	watcher := &operator.Watcher{
		Ask:  func() ([]wire.Status, []string) { return fetchAll[wire.Status](addrs, "/status") },
		Wait: o.Wait,
	}
	return watcher.Until(context.Background(), check)
}

// split returns the addresses of lists that are separated by commas.
func split(lists []string) []string {
	var addrs []string
	for _, list := range lists {
		addrs = append(addrs, strings.Split(list, ",")...)
	}
	return addrs
}

// writeInForce writes what is in force where.
func writeInForce(w io.Writer, answers []operator.InForce) {
	if len(answers) == 0 {
		row(w, "No instance was asked what is in force; name them by --instance.")
		return
	}
	row(w, "INSTANCE", "DATA CENTRE", "IN FORCE", "HOLDS")
	for _, a := range answers {
		row(w, a.Instance, cmp.Or(a.DataCentre, "-"), inForceText(a), a.Holds)
	}
}

func inForceText(a operator.InForce) string {
	if a.Elsewhere {
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

// joinOr returns the names with commas, or or where there are none.
func joinOr(names []string, or string) string {
	if len(names) == 0 {
		return or
	}
	return strings.Join(names, ",")
}

// timeOf writes Unix milliseconds; 0 is -.
func timeOf(ms int) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprint(time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339))
}
