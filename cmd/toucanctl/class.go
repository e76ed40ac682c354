package main

import (
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// classCommand holds the subcommands on classes.
type classCommand struct {
	List   classListCommand   `command:"list" description:"List classes"`
	Add    classAddCommand    `command:"add" description:"Add a class to a questionnaire"`
	Remove classRemoveCommand `command:"remove" description:"Remove a class from a questionnaire"`
}

func addClass(parser *flags.Parser) {
	_, err := parser.AddCommand("class", "List, add and remove classes",
		"Classes are answers of the questionnaire: add and remove change the file and keep its comments; apply puts the "+
			"change in force.", &classCommand{})
	mustAdd(err)
}

// classListCommand lists classes.
type classListCommand struct {
	listOptions
}

// Execute runs the command.
func (c *classListCommand) Execute(_ []string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	return c.print(cfg.Classes, func(w io.Writer) {
		row(w, "CLASS", "PRIORITY", "FIRST ANSWER MS", "IN TIME", "WORTHLESS AFTER MS", "MAY REPEAT", "MAY PAUSE", "SAFETY")
		for _, k := range cfg.Classes {
			row(w, k.Name, k.Tier, k.TtftMs, k.Attainment, k.DeadlineMs, yesNo(k.Idempotent), yesNo(k.Resumable), yesNo(k.Safety))
		}
	})
}

// classAddCommand adds a class.
type classAddCommand struct {
	editOptions
	Priority            int      `long:"priority" required:"yes" description:"1 is the most urgent"`
	FirstAnswerMs       int      `long:"first-answer-ms" required:"yes" description:"time within which the answer must begin"`
	BetweenTokensMs     int      `long:"between-tokens-ms" description:"longest usual time between two tokens"`
	ShareInTime         float64  `long:"share-in-time" required:"yes" description:"share of requests that must meet the times, such as 0.95"`
	WorthlessAfterMs    int      `long:"worthless-after-ms" description:"time after which the whole answer has no worth"`
	MayRepeat           bool     `long:"may-repeat" description:"a request may run twice without harm"`
	MayPause            bool     `long:"may-pause" description:"the work may be paused and go on later"`
	Safety              bool     `long:"safety" description:"somebody's safety depends on the answer"`
	Worth               float64  `long:"worth" description:"worth of one answered request; 1 where it isn't given"`
	LongestAnswerTokens int      `long:"longest-answer-tokens" description:"most tokens of one answer"`
	Args                editArgs `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *classAddCommand) Execute(_ []string) error {
	return c.add(c.Args, questionnaire.Classes, wire.ClassAnswer{
		Name:                c.Args.Name,
		Priority:            c.Priority,
		FirstAnswerMs:       c.FirstAnswerMs,
		BetweenTokensMs:     c.BetweenTokensMs,
		ShareInTime:         c.ShareInTime,
		WorthlessAfterMs:    c.WorthlessAfterMs,
		MayRepeat:           c.MayRepeat,
		MayPause:            c.MayPause,
		Safety:              c.Safety,
		Worth:               c.Worth,
		LongestAnswerTokens: c.LongestAnswerTokens,
	})
}

// classRemoveCommand removes a class.
type classRemoveCommand struct {
	editOptions
	Args editArgs `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *classRemoveCommand) Execute(_ []string) error {
	return c.remove(c.Args, questionnaire.Classes)
}
