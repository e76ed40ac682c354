// Package timeline reconstructs the timeline of one request from the logs of several instances and explains its
// outcome.
package timeline

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Keys of the log lines that are evaluated.
const (
	keyTime       = "time"
	keyEvent      = "event"
	keyID         = "request_id"
	keyServer     = "server"
	keyDataCentre = "data_centre"
)

// Field is one key of a log line with its value.
type Field struct {
	Key   string
	Value string
}

// Line is one parsed line of a log.
type Line struct {
	// Source is the name of the log, such as its file name.
	Source string
	Time   time.Time
	Event  string
	// Fields holds the line's other keys with their values, in the order of the line; the level is left out.
	Fields []Field
	// OfRequest is true if the line has the request's id. Other lines show the state of its instance and servers at
	// that time.
	OfRequest bool
}

// Get returns the value of a key; empty if the line doesn't have it.
func (l Line) Get(key string) string {
	i := slices.IndexFunc(l.Fields, func(f Field) bool { return f.Key == key })
	if i < 0 {
		return ""
	}
	return l.Fields[i].Value
}

// Log is the log of one instance. Source is its name, such as the file name.
type Log struct {
	Source string
	io.Reader
}

// Timeline holds the log lines that concern one request, ordered by time.
type Timeline struct {
	ID    string
	Lines []Line
	// Skipped is the number of lines that were not used, because they are not key=value lines with a time and an event.
	Skipped int
}

// ErrNotFound means that no log has a line of the request.
type ErrNotFound struct {
	ID   string
	Logs int
}

func (e ErrNotFound) Error() string {
	return fmt.Sprintf("no line of request %s found in %d logs", e.ID, e.Logs)
}

// contextBefore is how long before a request's first line the lines about its instance and servers are included. It is
// the longest time for which a failing server is avoided, so that the failure is included too.
const contextBefore = 3 * time.Second

// Find reads the logs and returns the timeline of the request. It returns an ErrNotFound if no log has a line of it.
func Find(id string, logs []Log) (*Timeline, error) {
	timeline := &Timeline{ID: id}
	for _, log := range logs {
		lines, skipped, err := parseLog(log)
		if err != nil {
			return nil, err
		}
		timeline.Skipped += skipped
		timeline.Lines = append(timeline.Lines, selectLines(id, lines)...)
	}
	if len(timeline.Lines) == 0 {
		return nil, ErrNotFound{ID: id, Logs: len(logs)}
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline, nil
}

// timeLayout is the time format of the log lines.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

func parseLog(log Log) (lines []Line, skipped int, err error) {
	dec := logfmt.NewDecoder(log)
	for dec.ScanRecord() {
		line := Line{Source: log.Source}
		for dec.ScanKeyval() {
			switch key, value := string(dec.Key()), string(dec.Value()); key {
			case keyTime:
				line.Time, _ = time.Parse(timeLayout, value)
			case keyEvent:
				line.Event = value
			case "level":
			default:
				line.Fields = append(line.Fields, Field{key, value})
			}
		}
		if line.Event == "" || line.Time.IsZero() {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	var syntaxErr *logfmt.SyntaxError
	if err := dec.Err(); err != nil && !errors.As(err, &syntaxErr) {
		return nil, 0, fmt.Errorf("%s: %w", log.Source, err)
	}
	return lines, skipped, nil
}

// selectLines returns the lines of the request, and the lines of the same time about its instance and about the servers
// to which the request was sent.
func selectLines(id string, lines []Line) []Line {
	var ownLines []Line
	servers := map[string]bool{}
	for _, l := range lines {
		if l.Get(keyID) != id {
			continue
		}
		l.OfRequest = true
		ownLines = append(ownLines, l)
		if server := l.Get(keyServer); server != "" {
			servers[server] = true
		}
	}
	if len(ownLines) == 0 {
		return nil
	}
	from, to := ownLines[0].Time.Add(-contextBefore), ownLines[len(ownLines)-1].Time
	for _, l := range ownLines {
		if total, err := time.ParseDuration(l.Get("total") + "s"); err == nil {
			from = earlierOf(from, l.Time.Add(-total-contextBefore))
		}
	}
	selected := ownLines
	for _, l := range lines {
		related := servers[l.Get(keyServer)] || l.Get(keyServer) == "" && l.Get(keyID) == ""
		if l.Get(keyID) == "" && related && !l.Time.Before(from) && !l.Time.After(to) {
			selected = append(selected, l)
		}
	}
	return selected
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Write writes one line for each event, and then the explanation; see Explain. Lines of the request itself begin with
// "*".
func (t *Timeline) Write(w io.Writer) error {
	start := t.Lines[0].Time
	for _, l := range t.Lines {
		lineMark := " "
		if l.OfRequest {
			lineMark = "*"
		}
		var fields []string
		for _, f := range l.Fields {
			if f.Key != keyID && f.Value != "" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		if _, err := fmt.Fprintf(w, "%s %8.3fs  %s  %s  %s\n", lineMark, l.Time.Sub(start).Seconds(), l.Source, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\n%s\n", strings.Join(t.Explain(), "\n"))
	return err
}

// Explain explains in sentences how the request ended and why, the outcome first.
func (t *Timeline) Explain() []string {
	var sentences []string
	for _, l := range t.Lines {
		if l.OfRequest && l.Event == "request" {
			sentences = append(sentences, describeOutcome(l))
		}
	}
	if len(sentences) == 0 {
		sentences = append(sentences, "The logs don't show the end of the request: it was still running, or its instance stopped.")
	}
	addedTexts := map[string]bool{}
	for _, l := range t.Lines {
		text := describeEvent(l)
		if text != "" && !addedTexts[text] {
			addedTexts[text] = true
			sentences = append(sentences, text)
		}
	}
	return sentences
}

// describeOutcome returns a sentence that says how the request ended.
func describeOutcome(l Line) string {
	status, server := l.Get("status"), cmp.Or(l.Get(keyServer), "none")
	switch l.Get("outcome") {
	case "served":
		return fmt.Sprintf("Served by %s after %s, first byte after %s s.", server, formatAttempts(l), l.Get("first"))
	case "failure_passed":
		return fmt.Sprintf("Server %s responded with status %s, which was forwarded.", server, status)
	case "broken_off":
		return fmt.Sprintf("The answer of %s was broken off.", server)
	case "caller_left":
		return fmt.Sprintf("The caller disconnected after %s s; server: %s.", l.Get("total"), server)
	}
	return fmt.Sprintf("Answered %s by the instance itself after %s s and %s.", status, l.Get("total"), formatAttempts(l))
}

func formatAttempts(l Line) string {
	switch n := cmp.Or(l.Get("sends"), "0"); n {
	case "1":
		return "1 attempt"
	default:
		return n + " attempts"
	}
}

// eventTexts are the explanations of single events. %s is the server, or the data centre if the event names no server.
var eventTexts = map[string]string{
	"server_suspected":     "Server %s couldn't be reached.",
	"server_mute":          "Server %s accepted connections and didn't respond.",
	"server_replaced":      "Another server answered at the address of server %s.",
	"server_draining":      "Server %s was draining.",
	"server_out":           "Server %s was removed.",
	"data_centre_silent":   "Nothing was received from data centre %s.",
	"stream_interrupted":   "Server %s broke off the stream.",
	"stream_resumed":       "Server %s goes on with the stream.",
	"stream_run_rejected":  "Server %s sent events that don't go on from the caller's last one.",
	"rejection_not_stated": "Server %s rejected the request without a statement that it hasn't run.",
	"retry_permitted":      "The retry budget permitted another attempt.",
	"retry_refused":        "The retry budget was used up.",
	"store_lost":           "The instance couldn't reach the platform's store.",
	"instance_leaving":     "The instance was shutting down.",
	"request_ended":        "The instance stopped and ended the request.",
}

// codeTexts are the explanations of the codes of an instance's own error responses.
var codeTexts = map[string]string{
	"overload":        "The backend servers couldn't have served the request in time; it was refused before it was sent.",
	"no_server":       "No backend server took the request.",
	"deadline":        "The time limit of the request expired.",
	"outcome_unknown": "The request was sent and its answer was lost: it may have run.",
	"leaving":         "The instance was stopping and took no more requests.",
	"not_found":       "No route of the configuration in force matches the request.",
	"key_invalid":     "The configuration in force doesn't contain the key.",
}

// describeEvent returns a sentence that explains the event of a line; empty for an event that doesn't help to explain
// the outcome.
func describeEvent(l Line) string {
	switch {
	case l.Event == "attempt_failed" && l.Get("sent") == "false":
		return fmt.Sprintf("Nothing was sent to server %s: %s.", l.Get(keyServer), l.Get("error"))
	case l.Event == "attempt_failed", l.Event == "answer_lost":
		return fmt.Sprintf("The answer of server %s was lost: %s.", l.Get(keyServer), l.Get("error"))
	case l.Event == "answer_not_used":
		return fmt.Sprintf("The answer of server %s (status %s) wasn't used: %s.", l.Get(keyServer), l.Get("status"), l.Get("reason"))
	case l.Event == "response_broken_off" && l.Get("reason") != "":
		return fmt.Sprintf("No further attempt was made: %s.", l.Get("reason"))
	case l.Event == "request_not_admitted":
		return fmt.Sprintf("The expected wait was %s s, above the limit of %s s.", l.Get("wait"), l.Get("limit"))
	case l.Event == "request_refused":
		return codeTexts[l.Get("code")]
	}
	format := eventTexts[l.Event]
	if !strings.Contains(format, "%s") {
		return format
	}
	return fmt.Sprintf(format, cmp.Or(l.Get(keyServer), l.Get(keyDataCentre)))
}
