package main

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/config"
)

// generateCommand prints the configuration of a questionnaire.
type generateCommand struct {
	questionnaireArg
	Out string `long:"out" value-name:"FILE" description:"file to write; standard output where it isn't given"`
	// JSON is taken for likeness with the other commands; the configuration is JSON anyway.
	JSON bool `long:"json" description:"print as JSON, which it always is"`
}

func addGenerate(parser *flags.Parser) {
	_, err := parser.AddCommand("generate", "Generate the configuration of a questionnaire",
		"Prints the configuration as JSON. Equal answers give equal bytes. Its version is 1 until it is applied.",
		&generateCommand{})
	mustAdd(err)
}

// Execute runs the command.
func (c *generateCommand) Execute(_ []string) error {
	cfg, err := c.generate()
	if err != nil {
		return err
	}
	data, err := config.Encode(cfg)
	if err != nil {
		return err
	}
	write := func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	}
	if c.Out == "" {
		return write(os.Stdout)
	}
	return writeFile(c.Out, write)
}
