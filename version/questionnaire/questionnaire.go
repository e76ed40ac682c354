// Package questionnaire reads a deployment's questionnaire and generates its configuration from the answers. A
// questionnaire is a file, JSON with comments, in which the teams of a deployment describe their data centres, classes
// of requests, workspaces, models, services and routes. Each entry of a list is an answer.
package questionnaire

import (
	"strconv"
	"sync"

	"github.com/toucanroute/toucanroute/version/config"
	"github.com/toucanroute/toucanroute/version/document"
	"github.com/toucanroute/toucanroute/wire"
)

// Questionnaire holds the answers of the teams of one deployment, from which its configuration is generated.
type Questionnaire = wire.Questionnaire

// ErrAnswer describes an invalid answer. All faults of a file are returned together as a document.ErrFields.
type ErrAnswer = document.ErrField

// IsErrAnswer reports whether err is or wraps an ErrAnswer, which describes an invalid answer.
func IsErrAnswer(err error) bool { return document.IsErrField(err) }

var loadSchema = sync.OnceValues(func() (*document.Schema, error) {
	return document.NewSchema("questionnaire")
})

// Load reads the questionnaire at path. Generate succeeds for a questionnaire that Load returns without an error.
func Load(path string) (*Questionnaire, error) {
	d, err := document.Read(path)
	if err != nil {
		return nil, err
	}
	return load(d)
}

// Parse reads a questionnaire from data; file is the name of the document in errors.
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
	if err := checkRouteTargets(d, q); err != nil {
		return nil, err
	}
	return q, checkConfig(d, q)
}

// checkRouteTargets checks that each route names either a model or a service, not both and not neither.
func checkRouteTargets(d *document.Document, q *Questionnaire) error {
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
	return d.JoinFaults(faults...)
}

// checkConfig generates the configuration and reports each of its faults at the answer that caused it.
func checkConfig(d *document.Document, q *Questionnaire) error {
	var faults []ErrAnswer
	for _, fault := range config.Faults(buildConfig(q)) {
		faults = append(faults, d.Fault(answerPath(q, fault.Field), fault.Found, useAnswerFields(fault.Allowed)))
	}
	return d.JoinFaults(faults...)
}
