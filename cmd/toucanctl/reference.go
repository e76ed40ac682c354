package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/reference"
)

// referenceCommand prints the reference page of the settings or the questionnaire.
type referenceCommand struct {
	Args struct {
		Document string `positional-arg-name:"settings|questionnaire" choice:"settings" choice:"questionnaire"`
	} `positional-args:"yes" required:"yes"`
}

func addReference(parser *flags.Parser) {
	_, err := parser.AddCommand("reference", "Print the reference page of settings or questionnaire",
		"Generates the page from the JSON schema, as Markdown.", &referenceCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *referenceCommand) Execute(_ []string) error {
	page, err := reference.Page(c.Args.Document)
	if err != nil {
		return errExit{exitUsage, err}
	}
	fmt.Print(page)
	return nil
}
