package main

import (
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// classCommand holds the subcommands that list and edit classes.
type classCommand struct {
	List   classListCommand   `command:"list" description:"List classes"`
	Add    classAddCommand    `command:"add" description:"Add a class to a questionnaire"`
	Remove classRemoveCommand `command:"remove" description:"Remove a class from a questionnaire"`
}

func addClass(parser *flags.Parser) {
	_, err := parser.AddCommand("class", "List, add and remove classes",
		"Classes are entries of the questionnaire: add and remove edit the file and keep its comments; apply puts the "+
			"change in force.", &classCommand{})
	mustAdd(err)
}

// classListCommand lists the classes of a questionnaire or of the accepted configuration.
type classListCommand struct {
	listOptions
}

// Execute implements flags.Commander.
func (c *classListCommand) Execute(_ []string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	return c.print(cfg.Classes, func(w io.Writer) {
		writeRow(w, "CLASS", "PRIORITY", "FIRST ANSWER MS", "IN TIME", "WORTHLESS AFTER MS", "MAY REPEAT", "MAY PAUSE", "SAFETY")
		for _, class := range cfg.Classes {
			writeRow(w, class.Name, class.Tier, class.TtftMs, class.Attainment, class.DeadlineMs, yesNo(class.Idempotent), yesNo(class.Resumable), yesNo(class.Safety))
		}
	})
}

// classAddCommand adds a class to a questionnaire.
type classAddCommand struct {
	editOptions
	Priority            int      `long:"priority" required:"yes" description:"1 is the most urgent"`
	FirstAnswerMs       int      `long:"first-answer-ms" required:"yes" description:"time within which the answer must begin"`
	BetweenTokensMs     int      `long:"between-tokens-ms" description:"longest usual time between two tokens"`
	ShareInTime         float64  `long:"share-in-time" required:"yes" description:"share of requests that must meet the times, such as 0.95"`
	WorthlessAfterMs    int      `long:"worthless-after-ms" description:"time after which the whole answer is worthless"`
	MayRepeat           bool     `long:"may-repeat" description:"a request may run twice without harm"`
	MayPause            bool     `long:"may-pause" description:"the work may be paused and resumed later"`
	Safety              bool     `long:"safety" description:"somebody's safety depends on the answer"`
	Worth               float64  `long:"worth" description:"worth of one answered request; 1 if not given"`
	LongestAnswerTokens int      `long:"longest-answer-tokens" description:"largest number of tokens in one answer"`
	Args                editArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
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

// classRemoveCommand removes a class from a questionnaire.
type classRemoveCommand struct {
	editOptions
	Args editArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *classRemoveCommand) Execute(_ []string) error {
	return c.remove(c.Args, questionnaire.Classes)
}
