// Package story joins the log lines of several instances into the story of one request.
package story

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

// Keys of the log lines that a story is made of.
const (
	keyTime   = "time"
	keyEvent  = "event"
	keyID     = "request_id"
	keyServer = "server"
	keyPlace  = "data_centre"
)

// Field is a key of a line with its value.
type Field struct {
	Key   string
	Value string
}

// Line is one line of a log.
type Line struct {
	// Source names the log, such as its file.
	Source string
	Time   time.Time
	Event  string
	// Fields are all others in the line's order, without the level.
	Fields []Field
	// Own tells that the line is of the request itself, and not of what its instance believed around it.
	Own bool
}

// Get returns the value of a key; empty is none.
func (l Line) Get(key string) string {
	i := slices.IndexFunc(l.Fields, func(f Field) bool { return f.Key == key })
	if i < 0 {
		return ""
	}
	return l.Fields[i].Value
}

// Log is one instance's log.
type Log struct {
	Source string
	io.Reader
}

// Story is what logs tell of one request, in the order of time.
type Story struct {
	ID    string
	Lines []Line
	// Skipped is the number of lines that aren't key=value lines with a time and an event.
	Skipped int
}

// ErrUnknown tells that no log has a line of the request.
type ErrUnknown struct {
	ID   string
	Logs int
}

func (e ErrUnknown) Error() string {
	return fmt.Sprintf("no line of request %s in %d logs", e.ID, e.Logs)
}

// before is the time before a request's first line from which beliefs of its instance are shown: the longest time for which
// a server that fails is avoided.
const before = 3 * time.Second

// Find reads the logs and returns the story of the request. An error is an ErrUnknown or that of a log.
func Find(id string, logs []Log) (*Story, error) {
	s := &Story{ID: id}
	for _, log := range logs {
		lines, skipped, err := read(log)
		if err != nil {
			return nil, err
		}
		s.Skipped += skipped
		s.Lines = append(s.Lines, pick(id, lines)...)
	}
	if len(s.Lines) == 0 {
		return nil, ErrUnknown{ID: id, Logs: len(logs)}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// timeLayout is that of the daemon's lines.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

func read(log Log) (lines []Line, skipped int, err error) {
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
	var syntax *logfmt.SyntaxError
	if err := dec.Err(); err != nil && !errors.As(err, &syntax) {
		return nil, 0, fmt.Errorf("%s: %w", log.Source, err)
	}
	return lines, skipped, nil
}

// pick returns the lines of the request, and what its instance noted of the servers that it went to and of itself
// meanwhile.
func pick(id string, lines []Line) []Line {
	var own []Line
	servers := map[string]bool{}
	for _, l := range lines {
		if l.Get(keyID) != id {
			continue
		}
		l.Own = true
		own = append(own, l)
		if server := l.Get(keyServer); server != "" {
			servers[server] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time
	for _, l := range own {
		if total, err := time.ParseDuration(l.Get("total") + "s"); err == nil {
			from = earlier(from, l.Time.Add(-total-before))
		}
	}
	picked := own
	for _, l := range lines {
		related := servers[l.Get(keyServer)] || l.Get(keyServer) == "" && l.Get(keyID) == ""
		if l.Get(keyID) == "" && related && !l.Time.Before(from) && !l.Time.After(to) {
			picked = append(picked, l)
		}
	}
	return picked
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Write writes the story, a line for each event, and what it comes to.
func (s *Story) Write(w io.Writer) error {
	start := s.Lines[0].Time
	for _, l := range s.Lines {
		mark := " "
		if l.Own {
			mark = "*"
		}
		var fields []string
		for _, f := range l.Fields {
			if f.Key != keyID && f.Value != "" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		if _, err := fmt.Fprintf(w, "%s %8.3fs  %s  %s  %s\n", mark, l.Time.Sub(start).Seconds(), l.Source, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\n%s\n", strings.Join(s.Causes(), "\n"))
	return err
}

// Causes tells in sentences what the story comes to, the outcome first.
func (s *Story) Causes() []string {
	var list []string
	for _, l := range s.Lines {
		if l.Own && l.Event == "request" {
			list = append(list, outcome(l))
		}
	}
	if len(list) == 0 {
		list = append(list, "The log has no end of the request: it still ran, or its process ended.")
	}
	told := map[string]bool{}
	for _, l := range s.Lines {
		text := reason(l)
		if text != "" && !told[text] {
			told[text] = true
			list = append(list, text)
		}
	}
	return list
}

// outcome tells how a request ended.
func outcome(l Line) string {
	status, server := l.Get("status"), cmp.Or(l.Get(keyServer), "none")
	switch l.Get("outcome") {
	case "served":
		return fmt.Sprintf("Served by %s after %s, first byte after %s s.", server, attempts(l), l.Get("first"))
	case "failure_passed":
		return fmt.Sprintf("Server %s answered %s, which was passed on.", server, status)
	case "broken_off":
		return fmt.Sprintf("The answer of %s was broken off.", server)
	case "caller_left":
		return fmt.Sprintf("The caller left after %s s; server: %s.", l.Get("total"), server)
	}
	return fmt.Sprintf("Answered %s by the instance itself after %s s and %s.", status, l.Get("total"), attempts(l))
}

func attempts(l Line) string {
	switch n := cmp.Or(l.Get("sends"), "0"); n {
	case "1":
		return "1 attempt"
	default:
		return n + " attempts"
	}
}

// reasons are what single events tell of a failure. %s is the server, or the data centre where the event names no server.
var reasons = map[string]string{
	"server_suspected":   "Server %s couldn't be reached.",
	"server_mute":        "Server %s took connections and answered nothing.",
	"server_replaced":    "Another server answered at the address of server %s.",
	"server_draining":    "Server %s was leaving.",
	"server_out":         "Server %s was gone.",
	"data_centre_silent": "Data centre %s couldn't be heard.",
	"stream_interrupted": "Server %s broke off the stream; another was asked to go on.",
	"retry_refused":      "The budget of further attempts was used up.",
	"store_lost":         "The instance couldn't reach the platform's store.",
	"instance_leaving":   "The instance was asked to end.",
}

// codes are what the codes of the instance's own answers tell.
var codes = map[string]string{
	"overload":        "The backend servers had more work than they could do in time; it was refused before it was sent.",
	"no_server":       "No backend server took the request.",
	"deadline":        "The route's time limit was over.",
	"outcome_unknown": "The request was sent and its answer was lost: it may have run.",
	"not_found":       "No route of the configuration in force leads there.",
	"key_invalid":     "The configuration in force doesn't hold the key.",
}

func reason(l Line) string {
	switch {
	case l.Event == "attempt_failed" && l.Get("sent") == "false":
		return fmt.Sprintf("Nothing was sent to server %s: %s.", l.Get(keyServer), l.Get("error"))
	case l.Event == "attempt_failed", l.Event == "answer_lost":
		return fmt.Sprintf("The answer of server %s was lost: %s.", l.Get(keyServer), l.Get("error"))
	case l.Event == "answer_not_used":
		return fmt.Sprintf("The answer of server %s (status %s) wasn't used: %s.", l.Get(keyServer), l.Get("status"), l.Get("reason"))
	case l.Event == "request_not_admitted":
		return fmt.Sprintf("The expected wait was %s s, and %s s at most is of use.", l.Get("wait"), l.Get("limit"))
	case l.Event == "request_refused":
		return codes[l.Get("code")]
	}
	format := reasons[l.Event]
	if !strings.Contains(format, "%s") {
		return format
	}
	return fmt.Sprintf(format, cmp.Or(l.Get(keyServer), l.Get(keyPlace)))
}
