package request

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTokensLimit is the largest token count that a caller may ask for.
	MaxTokensLimit = 1 << 20
	// bytesPerToken is a rough size of a token of a prompt.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed.
	prefixBytes = 256
	// maxChoices is the largest n that a caller may ask for.
	maxChoices = 128
)

// Paths of the completions API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Completion is a parsed request of the completions API.
type Completion struct {
	// fields holds the body's members but for those that the router sets itself.
	fields       map[string]json.RawMessage
	path         string
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int
	promptBytes  int
	prefix       string
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// engineStreamOptions is what every engine gets, so that each answer ends with its usage.
var engineStreamOptions = json.RawMessage(`{"include_usage":true}`)

// ownFields are set by the router, whatever the caller sends, or may hold the caller's key.
var ownFields = []string{"priority", "stream", "stream_options", "key", "api_key"}

// readFields are those that the router has read; another spelling of them could tell an engine something else.
var readFields = []string{"model", "messages", "prompt", "n", "max_tokens", "max_completion_tokens"}

// ParseCompletion reads the body of a request to PathChat or PathCompletions. The error is an ErrAnswer.
func ParseCompletion(path string, body []byte) (*Completion, error) {
	c := &Completion{path: path}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, badJSON(body, err)
	}
	if c.fields == nil {
		return nil, badField("body", "must be a JSON object")
	}
	if err := c.readMembers(); err != nil {
		return nil, err
	}
	if err := c.readPrompt(); err != nil {
		return nil, err
	}
	c.dropOwnFields()
	return c, nil
}

func (c *Completion) readMembers() error {
	if err := c.read("model", &c.model); err != nil {
		return err
	}
	if c.model == "" {
		return badField("model", "is missing")
	}
	if err := c.read("stream", &c.stream); err != nil {
		return err
	}
	var options *streamOptions
	if err := c.read("stream_options", &options); err != nil {
		return err
	}
	c.includeUsage = options != nil && options.IncludeUsage
	if err := c.readCount("n", maxChoices, new(int)); err != nil {
		return err
	}
	if err := c.readCount("max_tokens", MaxTokensLimit, &c.maxTokens); err != nil {
		return err
	}
	return c.readCount("max_completion_tokens", MaxTokensLimit, &c.maxTokens)
}

// readCount reads a whole number from 1 to most; an absent or null member leaves v as it is.
func (c *Completion) readCount(name string, most int, v *int) error {
	var n *int
	if err := c.read(name, &n); err != nil {
		return err
	}
	if n == nil {
		return nil
	}
	if *n < 1 || *n > most {
		return badField(name, fmt.Sprintf("must be from 1 to %d", most))
	}
	*v = *n
	return nil
}

func (c *Completion) read(name string, v any) error {
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return badField(name, "has the wrong type")
	}
	return nil
}

// dropOwnFields removes the members that the router sets, in any spelling that a lenient engine might read.
func (c *Completion) dropOwnFields() {
	maps.DeleteFunc(c.fields, func(name string, _ json.RawMessage) bool {
		isSpelling := func(field string) bool { return strings.EqualFold(name, field) }
		return slices.ContainsFunc(ownFields, isSpelling) ||
			!slices.Contains(readFields, name) && slices.ContainsFunc(readFields, isSpelling)
	})
}

func (c *Completion) readPrompt() error {
	if c.path == PathCompletions {
		return c.readPlainPrompt()
	}
	var messages []message
	if err := c.read("messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return badField("messages", "must hold at least one message")
	}
	c.promptBytes = len(c.fields["messages"])
	h := prefixHash{}
	for i, m := range messages {
		if i > 0 {
			h.add("\n")
		}
		if h.full() {
			break
		}
		m.Content.addTo(&h)
	}
	c.prefix = h.sum()
	return nil
}

func (c *Completion) readPlainPrompt() error {
	raw := c.fields["prompt"]
	if len(raw) == 0 || string(raw) == "null" {
		return badField("prompt", "is missing")
	}
	c.promptBytes = len(raw)
	h := prefixHash{}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		h.add(text)
	} else {
		h.add(string(raw))
	}
	c.prefix = h.sum()
	return nil
}

// Path returns the path of the request.
func (c *Completion) Path() string { return c.path }

// Model returns the model that the caller names.
func (c *Completion) Model() string { return c.model }

// Stream tells whether the caller wants server-sent events.
func (c *Completion) Stream() bool { return c.stream }

// IncludeUsage tells whether the caller wants a final chunk with the usage.
func (c *Completion) IncludeUsage() bool { return c.includeUsage }

// MaxTokens returns the most tokens that the caller asks for; 0 is no limit of its own.
func (c *Completion) MaxTokens() int { return c.maxTokens }

// PromptTokens returns a rough count of the prompt's tokens.
func (c *Completion) PromptTokens() int { return c.promptBytes/bytesPerToken + 1 }

// Prefix returns the hash of the prompt's first bytes, 16 hex digits.
func (c *Completion) Prefix() string { return c.prefix }

// EngineBody returns the body for an engine: the caller's members, with the router's own ones set. The model is the
// engine's name of it, which differs from the caller's where a route has another name.
// The answer is always streamed. A maxTokens above 0 caps the caller's wish.
func (c *Completion) EngineBody(model string, priority, maxTokens int) ([]byte, error) {
	fields := maps.Clone(c.fields)
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = engineStreamOptions
	if maxTokens > 0 && (c.maxTokens == 0 || c.maxTokens > maxTokens) {
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = json.RawMessage(strconv.Itoa(maxTokens))
	}
	return json.Marshal(fields)
}

// message is the part of a chat message that the prefix hash needs.
type message struct {
	Content content `json:"content"`
}

// content is a message's text: a string, a list of parts, or null.
type content struct {
	parts []string
}

type contentPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON reads a string or a list of parts.
func (c *content) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if data[0] == '"' {
		var text string
		err := json.Unmarshal(data, &text)
		c.parts = append(c.parts, text)
		return err
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		c.parts = append(c.parts, p.Text)
	}
	return nil
}

func (c *content) addTo(h *prefixHash) {
	for _, p := range c.parts {
		h.add(p)
	}
}

// prefixHash hashes the first prefixBytes bytes of what is added.
type prefixHash struct {
	buf [prefixBytes]byte
	n   int
}

func (h *prefixHash) full() bool   { return h.n == prefixBytes }
func (h *prefixHash) add(s string) { h.n += copy(h.buf[h.n:], s) }
func (h *prefixHash) sum() string  { return fmt.Sprintf("%016x", xxhash.Sum64(h.buf[:h.n])) }

func badField(name, what string) ErrAnswer {
	return Refuse(http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("field %q %s", name, what))
}

func badJSON(body []byte, err error) ErrAnswer {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(body[:min(int(syntax.Offset), len(body))], []byte("\n"))
		return Refuse(http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("body is not valid JSON at byte %d, line %d", syntax.Offset, line))
	}
	return badField("body", "must be a JSON object")
}
