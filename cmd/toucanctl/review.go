package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/platform"
	client "github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/version/config"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// reviewCommand checks a configuration of the users' platform before an operator sends it. Nothing is sent.
type reviewCommand struct {
	outputOptions
	Objects string        `long:"objects" env:"TOUCAN_OBJECTS" value-name:"ADDR" description:"IP address and port of the platform's object store, whose version in force is compared; without it, nothing is compared"`
	Timeout time.Duration `long:"timeout" default:"20s" description:"longest time for all calls to the object store together"`
	Strict  bool          `long:"strict" description:"fail at warnings too"`
	Args    struct {
		File string `positional-arg-name:"CONFIGURATION" description:"configuration as it would be stored, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// reviewOutput is the JSON output of the command.
type reviewOutput struct {
	Findings []platform.PlacedFinding `json:"findings"`
	// InForce is the version with which the configuration was compared; 0 if there is none or none was read.
	InForce int             `json:"in_force"`
	Changes []config.Change `json:"changes"`
}

func addReview(parser *flags.Parser) {
	_, err := parser.AddCommand("review", "Review a platform's configuration before it is sent",
		"Reports errors, entries that never match or have no effect, limits that contradict each other, and what differs from "+
			"the version in force. Each finding has its line and column. Fails if there are errors.", &reviewCommand{})
	mustAdd(err)
}

// errReview reports that a configuration must not be sent.
type errReview struct {
	file             string
	errors, warnings int
}

func (e errReview) Error() string {
	return fmt.Sprintf("%s must not be sent: %d errors, %d warnings", e.file, e.errors, e.warnings)
}

// Execute implements flags.Commander.
func (c *reviewCommand) Execute(_ []string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	standardJSON, findings, err := platform.ReviewConfig(c.Args.File, data)
	if err != nil {
		return err
	}
	output := reviewOutput{Findings: findings, Changes: []config.Change{}}
	if standardJSON != nil && c.Objects != "" {
		if err := c.compare(standardJSON, &output); err != nil {
			return err
		}
	}
	if err := c.print(output, output.write); err != nil {
		return err
	}
	count := func(severity hostroute.Severity) int {
		return len(slices.DeleteFunc(slices.Clone(output.Findings), func(f platform.PlacedFinding) bool { return f.Severity != severity }))
	}
	failure := errReview{c.Args.File, count(hostroute.SeverityError), count(hostroute.SeverityWarning)}
	if failure.errors > 0 || c.Strict && failure.warnings > 0 {
		return failure
	}
	return nil
}

// compare adds what differs from the version in force.
func (c *reviewCommand) compare(standardJSON []byte, output *reviewOutput) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	store := (&platform.Store{Client: &client.Client{BaseURL: "http://" + c.Objects, Instance: "toucanctl"}}).Objects()
	inForce, err := store.Get(ctx, platform.ConfigKind, platform.ConfigName)
	if err != nil && !client.IsErrNotFound(err) {
		return fmt.Errorf("read the version in force: %w", err)
	}
	var versions [2]struct {
		Version int `json:"version"`
	}
	for i, data := range [][]byte{inForce.Value, standardJSON} {
		if len(data) == 0 {
			continue
		}
		if err := json.Unmarshal(data, &versions[i]); err != nil {
			return fmt.Errorf("read the version number: %w", err)
		}
	}
	if output.InForce = versions[0].Version; output.InForce > 0 && versions[1].Version <= output.InForce {
		output.Findings = append(output.Findings, platform.VersionFinding(c.Args.File, standardJSON, output.InForce))
	}
	output.Changes, err = config.DiffObjects(inForce.Value, standardJSON)
	return err
}

// write writes the output as text.
func (o reviewOutput) write(w io.Writer) {
	for _, f := range o.Findings {
		_, _ = fmt.Fprintf(w, "%s:%d:%d: %s: %s: %s\n", f.File, f.Line, f.Column, f.Severity, f.Field, f.Message)
	}
	if o.InForce > 0 {
		writeChanges(w, o.Changes)
		_, _ = fmt.Fprintf(w, "%d changes against version %d\n", len(o.Changes), o.InForce)
	}
	if len(o.Findings) == 0 {
		_, _ = fmt.Fprintln(w, "no findings")
	}
}
