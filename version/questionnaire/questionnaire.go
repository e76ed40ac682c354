// Package questionnaire reads a deployment's answers and generates its configuration from them.
package questionnaire

import (
	"strconv"
	"sync"

	"github.com/toucanroute/toucanroute/version/config"
	"github.com/toucanroute/toucanroute/version/document"
	"github.com/toucanroute/toucanroute/wire"
)

// Questionnaire holds the answers of one deployment's teams.
type Questionnaire = wire.Questionnaire

// ErrAnswer tells what is wrong with one answer; all faults of a file come together as a document.ErrFields.
type ErrAnswer = document.ErrField

// IsErrAnswer tells whether err is or holds an ErrAnswer.
func IsErrAnswer(err error) bool { return document.IsErrField(err) }

var loadSchema = sync.OnceValues(func() (*document.Schema, error) {
	return document.NewSchema("questionnaire")
})

// Load reads the questionnaire at path. Its configuration generates without faults.
func Load(path string) (*Questionnaire, error) {
	d, err := document.Read(path)
	if err != nil {
		return nil, err
	}
	return load(d)
}

// Parse reads a questionnaire from data; file is the name that errors give.
func Parse(file string, data []byte) (*Questionnaire, error) {
	d, err := document.Parse(file, data)
	if err != nil {
		return nil, err
	}
	return load(d)
}

func load(d *document.Document) (*Questionnaire, error) {
	schema, err := loadSchema()
	if err != nil {
		return nil, err
	}
	if err := schema.Check(d); err != nil {
		return nil, err
	}
	q := &Questionnaire{}
	if err := d.Decode(q); err != nil {
		return nil, err
	}
	if err := checkTargets(d, q); err != nil {
		return nil, err
	}
	return q, checkConfig(d, q)
}

// checkTargets refuses a route that leads to both or neither of a model and a service.
func checkTargets(d *document.Document, q *Questionnaire) error {
	var faults []ErrAnswer
	for i, r := range q.Routes {
		path := []string{"routes", strconv.Itoa(i)}
		if r.Model == "" && r.Service == "" {
			faults = append(faults, d.Fault(path, "neither model nor service", "one of them"))
		}
		if r.Model != "" && r.Service != "" {
			faults = append(faults, d.Fault(path, "both model and service", "one of them"))
		}
	}
	return d.Join(faults...)
}

// checkConfig generates the configuration and places its faults at the answers that they come from.
func checkConfig(d *document.Document, q *Questionnaire) error {
	var faults []ErrAnswer
	for _, fault := range config.Faults(generate(q)) {
		faults = append(faults, d.Fault(origin(q, fault.Field), fault.Found, renameAll(fault.Allowed)))
	}
	return d.Join(faults...)
}
