package questionnaire

import (
	"regexp"
	"strconv"
	"strings"
)

// answerFields maps, for each list of the configuration, the name of a field to the name of the answer from which it is
// generated. Fields that aren't listed have the same name in the configuration and in the questionnaire.
var answerFields = map[string]map[string]string{
	"classes": {
		"tier":        "priority",
		"ttft_ms":     "first_answer_ms",
		"tbt_ms":      "between_tokens_ms",
		"attainment":  "share_in_time",
		"deadline_ms": "worthless_after_ms",
		"idempotent":  "may_repeat",
		"resumable":   "may_pause",
		"weight":      "worth",
		"max_tokens":  "longest_answer_tokens",
	},
	"workspaces": {"weight": "share"},
	"pools": {
		"cheap_allowed":   "cheaper_kind_allowed",
		"expected_rps":    "expected_requests_per_second",
		"expected_tokens": "usual_answer_tokens",
	},
	"routes": {
		"open":           "open_to_all",
		"open_workspace": "counted_to",
		"methods":        "calls",
		"path_prefix":    "path",
		"idempotent":     "may_repeat",
	},
	"servers": {"slots": "at_once"},
}

// answerPath returns the path in the questionnaire of the answer from which a field of the configuration is generated.
func answerPath(q *Questionnaire, field string) []string {
	steps := splitField(field)
	list := steps[0]
	path := []string{list}
	rest := steps[1:]
	if len(rest) > 0 {
		n, err := strconv.Atoi(rest[0])
		if err != nil {
			return steps
		}
		path = entryPath(q, list, n)
		rest = rest[1:]
	}
	for _, step := range rest {
		path = append(path, answerField(q, list, path, step))
	}
	return path
}

// entryPath returns the path of the answer from which an entry of a list of the configuration is generated.
func entryPath(q *Questionnaire, list string, index int) []string {
	switch list {
	case "pools":
		if index < len(q.Models) {
			return []string{"models", strconv.Itoa(index)}
		}
		return []string{"services", strconv.Itoa(index - len(q.Models))}
	case "servers":
		return serverPath(q, index)
	}
	return []string{list, strconv.Itoa(index)}
}

// serverPath returns the path of the answer from which a backend server of the configuration is generated.
func serverPath(q *Questionnaire, index int) []string {
	for i, m := range q.Models {
		if index < len(m.Servers) {
			return []string{"models", strconv.Itoa(i), "servers", strconv.Itoa(index)}
		}
		index -= len(m.Servers)
	}
	for i, s := range q.Services {
		if index < len(s.Servers) {
			return []string{"services", strconv.Itoa(i), "servers", strconv.Itoa(index)}
		}
		index -= len(s.Servers)
	}
	return []string{"models"}
}

func answerField(q *Questionnaire, list string, path []string, step string) string {
	if list == "routes" && step == "pool" {
		return routeTargetField(q, path)
	}
	if name, ok := answerFields[list][step]; ok {
		return name
	}
	return step
}

// routeTargetField returns the name of the answer, service or model, that gives the pool of the route at path.
func routeTargetField(q *Questionnaire, path []string) string {
	n, err := strconv.Atoi(path[1])
	if err == nil && n < len(q.Routes) && q.Routes[n].Service != "" {
		return "service"
	}
	return "model"
}

// splitField splits a path such as routes[1].methods[0].class into its names and indexes.
func splitField(field string) []string {
	return strings.FieldsFunc(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// configFieldPattern matches the configuration field names that occur in ErrConfig.Allowed.
var configFieldPattern = regexp.MustCompile(`\b(ttft_ms|pool)\b`)

// useAnswerFields replaces the configuration field names in an error text by the names in the questionnaire.
func useAnswerFields(text string) string {
	return configFieldPattern.ReplaceAllStringFunc(text, func(name string) string {
		if name == "pool" {
			return "model or service"
		}
		return answerFields["classes"][name]
	})
}
