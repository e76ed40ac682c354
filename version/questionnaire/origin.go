package questionnaire

import (
	"regexp"
	"strconv"
	"strings"
)

// answerNames gives, for each list of the configuration, the answer that a field is generated from.
// Fields that aren't listed have the same name in both.
var answerNames = map[string]map[string]string{
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

// origin returns the path of the answer that a field of the configuration is generated from.
func origin(q *Questionnaire, field string) []string {
	steps := splitField(field)
	list := steps[0]
	path := []string{list}
	rest := steps[1:]
	if len(rest) > 0 {
		n, err := strconv.Atoi(rest[0])
		if err != nil {
			return steps
		}
		path = entryOrigin(q, list, n)
		rest = rest[1:]
	}
	for _, step := range rest {
		path = append(path, answerName(q, list, path, step))
	}
	return path
}

// entryOrigin returns the path of the nth entry of a list of the configuration.
func entryOrigin(q *Questionnaire, list string, n int) []string {
	switch list {
	case "pools":
		if n < len(q.Models) {
			return []string{"models", strconv.Itoa(n)}
		}
		return []string{"services", strconv.Itoa(n - len(q.Models))}
	case "servers":
		return serverOrigin(q, n)
	}
	return []string{list, strconv.Itoa(n)}
}

func serverOrigin(q *Questionnaire, n int) []string {
	for i, m := range q.Models {
		if n < len(m.Servers) {
			return []string{"models", strconv.Itoa(i), "servers", strconv.Itoa(n)}
		}
		n -= len(m.Servers)
	}
	for i, s := range q.Services {
		if n < len(s.Servers) {
			return []string{"services", strconv.Itoa(i), "servers", strconv.Itoa(n)}
		}
		n -= len(s.Servers)
	}
	return []string{"models"}
}

func answerName(q *Questionnaire, list string, path []string, step string) string {
	if list == "routes" && step == "pool" {
		return routeTarget(q, path)
	}
	if name, ok := answerNames[list][step]; ok {
		return name
	}
	return step
}

// routeTarget returns which of the two answers gives the target of the route at path.
func routeTarget(q *Questionnaire, path []string) string {
	n, err := strconv.Atoi(path[1])
	if err == nil && n < len(q.Routes) && q.Routes[n].Service != "" {
		return "service"
	}
	return "model"
}

// splitField splits a path such as routes[1].methods[0].class into its steps.
func splitField(field string) []string {
	return strings.FieldsFunc(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// configField matches names of the configuration's fields that the allowed values of errors mention.
var configField = regexp.MustCompile(`\b(ttft_ms|pool)\b`)

// renameAll puts a questionnaire's words in place of the configuration's.
func renameAll(text string) string {
	return configField.ReplaceAllStringFunc(text, func(name string) string {
		if name == "pool" {
			return "model or service"
		}
		return answerNames["classes"][name]
	})
}
