package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/load/arrival"
	"github.com/toucanroute/toucanroute/wire"
)

// arrivalsCommand generates an arrival file for the load command.
type arrivalsCommand struct {
	Config  string      `long:"config" description:"generated configuration (JSON)" required:"true"`
	Seed    uint64      `long:"seed" description:"seed of the random numbers; the same seed gives the same file" default:"1"`
	Rate    float64     `long:"rate" description:"requests per second, without surges" default:"50"`
	Seconds float64     `long:"seconds" description:"length of the load in seconds" default:"20"`
	Surges  []surgeFlag `long:"surge" description:"class=NAME,workspace=NAME,factor=F,from=SHARE,to=SHARE; repeat for each"`
	Out     string      `long:"out" description:"file to write; standard output if not given"`
}

// surgeFlag is the value of a --surge flag.
type surgeFlag struct {
	arrival.Surge
}

// errSurge reports a part of a --surge flag that can't be parsed.
type errSurge struct {
	part string
}

func (e errSurge) Error() string {
	return fmt.Sprintf("surge: %q is none of class=NAME, workspace=NAME, factor=F, from=SHARE, to=SHARE", e.part)
}

// UnmarshalFlag parses the value of a --surge flag.
func (s *surgeFlag) UnmarshalFlag(value string) error {
	s.Surge = arrival.Surge{Factor: 1, To: 1}
	for part := range strings.SplitSeq(value, ",") {
		name, partValue, _ := strings.Cut(part, "=")
		if err := s.set(name, partValue); err != nil {
			return errSurge{part: part}
		}
	}
	return nil
}

func (s *surgeFlag) set(name, value string) error {
	var err error
	switch name {
	case "class":
		s.Class = value
	case "workspace":
		s.Workspace = value
	case "factor":
		s.Factor, err = strconv.ParseFloat(value, 64)
	case "from":
		s.From, err = strconv.ParseFloat(value, 64)
	case "to":
		s.To, err = strconv.ParseFloat(value, 64)
	default:
		err = errSurge{part: name}
	}
	return err
}

func addArrivals(parser *flags.Parser) {
	_, err := parser.AddCommand("arrivals", "Generate an arrival file from a configuration",
		"Draws seeded Poisson arrivals of the configuration's workspaces and classes, with heavy-tailed answer lengths.",
		&arrivalsCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *arrivalsCommand) Execute(_ []string) error {
	cfg, err := readJSON[wire.Config](c.Config)
	if err != nil {
		return err
	}
	profile := &arrival.Profile{Config: cfg, Seed: c.Seed, Rate: c.Rate, RunDuration: time.Duration(c.Seconds * float64(time.Second))}
	for _, s := range c.Surges {
		profile.Surges = append(profile.Surges, s.Surge)
	}
	list, err := profile.Generate()
	if err != nil {
		return err
	}
	if c.Out == "" {
		return arrival.Write(os.Stdout, list)
	}
	return writeFile(c.Out, func(w io.Writer) error { return arrival.Write(w, list) })
}
