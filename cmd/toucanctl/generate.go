package main

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/config"
)

// generateCommand prints the configuration that a questionnaire generates.
type generateCommand struct {
	questionnaireArg
	Out string `long:"out" value-name:"FILE" description:"file to write; standard output if not given"`
	// JSON has no effect, since the configuration is always JSON. Other commands have the same flag.
	JSON bool `long:"json" description:"print as JSON, which is always done"`
}

func addGenerate(parser *flags.Parser) {
	_, err := parser.AddCommand("generate", "Generate the configuration of a questionnaire",
		"Prints the configuration as JSON. Equal questionnaires give equal bytes. The version is 1 until it is applied.",
		&generateCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
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
