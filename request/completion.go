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
	// MaxTokensLimit is the largest max_tokens that a caller may request.
	MaxTokensLimit = 1 << 20
	// bytesPerToken is the approximate size of a prompt token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed.
	prefixBytes = 256
	// maxChoices is the largest n (number of choices) that a caller may request.
	maxChoices = 128
)

// Paths of the completions API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Completion is a parsed request of the completions API.
type Completion struct {
	// fields holds the members of the body, without those that the router sets itself.
	fields       map[string]json.RawMessage
	path         string
	model        string
	stream       bool
	includeUsage bool
	// maxTokens is the limit of the response's length in tokens; 0 if the caller sets none.
	maxTokens int
	// promptBytes is the length of the prompt's JSON value in bytes.
	promptBytes int
	// prefix is the hash of the prompt's first prefixBytes bytes, as 16 hex digits.
	prefix string
	// parts are the hashes of the prompt's messages.
	parts []string
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// engineStreamOptions is the stream_options member of each request to an engine. It makes each stream end with its
// usage.
var engineStreamOptions = json.RawMessage(`{"include_usage":true}`)

// routerFields are dropped from the caller's body: they are set by the router or may contain the caller's key.
var routerFields = []string{"priority", "stream", "stream_options", "key", "api_key"}

// parsedFields are the members that the router has parsed. Other spellings of them are dropped, since an engine could
// use their values instead.
var parsedFields = []string{"model", "messages", "prompt", "n", "max_tokens", "max_completion_tokens"}

// ParseCompletion parses the body of a request to PathChat or PathCompletions. Its errors are of type ErrResponse.
func ParseCompletion(path string, body []byte) (*Completion, error) {
	c := &Completion{path: path}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, invalidJSON(body, err)
	}
	if c.fields == nil {
		return nil, invalidField("body", "must be a JSON object")
	}
	if err := c.parseFields(); err != nil {
		return nil, err
	}
	if err := c.parsePrompt(); err != nil {
		return nil, err
	}
	c.dropRouterFields()
	return c, nil
}

func (c *Completion) parseFields() error {
	if err := c.decodeField("model", &c.model); err != nil {
		return err
	}
	if c.model == "" {
		return invalidField("model", "is missing")
	}
	if err := c.decodeField("stream", &c.stream); err != nil {
		return err
	}
	var options *streamOptions
	if err := c.decodeField("stream_options", &options); err != nil {
		return err
	}
	c.includeUsage = options != nil && options.IncludeUsage
	if err := c.decodeCount("n", maxChoices, new(int)); err != nil {
		return err
	}
	if err := c.decodeCount("max_tokens", MaxTokensLimit, &c.maxTokens); err != nil {
		return err
	}
	return c.decodeCount("max_completion_tokens", MaxTokensLimit, &c.maxTokens)
}

// decodeCount decodes a whole number from 1 to limit into v. An absent or null member leaves v unchanged.
func (c *Completion) decodeCount(name string, limit int, v *int) error {
	var n *int
	if err := c.decodeField(name, &n); err != nil {
		return err
	}
	if n == nil {
		return nil
	}
	if *n < 1 || *n > limit {
		return invalidField(name, fmt.Sprintf("must be from 1 to %d", limit))
	}
	*v = *n
	return nil
}

// decodeField decodes a member into v. An absent member leaves v unchanged.
func (c *Completion) decodeField(name string, v any) error {
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return invalidField(name, "has the wrong type")
	}
	return nil
}

// dropRouterFields removes the members that the router sets, and other spellings of those that it has parsed. It
// ignores the letter case, since a lenient engine might do so too.
func (c *Completion) dropRouterFields() {
	maps.DeleteFunc(c.fields, func(name string, _ json.RawMessage) bool {
		isSpelling := func(field string) bool { return strings.EqualFold(name, field) }
		return slices.ContainsFunc(routerFields, isSpelling) ||
			!slices.Contains(parsedFields, name) && slices.ContainsFunc(parsedFields, isSpelling)
	})
}

func (c *Completion) parsePrompt() error {
	if c.path == PathCompletions {
		return c.parsePlainPrompt()
	}
	var messages []message
	if err := c.decodeField("messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return invalidField("messages", "must hold at least one message")
	}
	c.promptBytes = len(c.fields["messages"])
	var parts []json.RawMessage
	if err := c.decodeField("messages", &parts); err != nil {
		return err
	}
	c.parts = partHashes(parts)
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

func (c *Completion) parsePlainPrompt() error {
	raw := c.fields["prompt"]
	if len(raw) == 0 || string(raw) == "null" {
		return invalidField("prompt", "is missing")
	}
	c.promptBytes = len(raw)
	c.parts = partHashes([]json.RawMessage{raw})
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

// partHashes returns the hashes of the JSON values of a prompt's messages, as 16 hex digits each.
func partHashes(messages []json.RawMessage) []string {
	hashes := make([]string, len(messages))
	for i, m := range messages {
		hashes[i] = fmt.Sprintf("%016x", xxhash.Sum64(m))
	}
	return hashes
}

// Parts returns the hashes of the prompt's messages in order, or that of a plain prompt.
func (c *Completion) Parts() []string { return c.parts }

// Path returns the path of the request, PathChat or PathCompletions.
func (c *Completion) Path() string { return c.path }

// Model returns the name of the requested model.
func (c *Completion) Model() string { return c.model }

// Stream reports whether the caller requests server-sent events.
func (c *Completion) Stream() bool { return c.stream }

// IncludeUsage reports whether the caller requests a final chunk with the usage.
func (c *Completion) IncludeUsage() bool { return c.includeUsage }

// MaxTokens returns the largest number of tokens that the caller requests; 0 if it sets no limit.
func (c *Completion) MaxTokens() int { return c.maxTokens }

// PromptTokens returns the approximate number of tokens of the prompt.
func (c *Completion) PromptTokens() int { return c.promptBytes/bytesPerToken + 1 }

// Prefix returns a hash of the first bytes of the prompt as 16 hex digits.
func (c *Completion) Prefix() string { return c.prefix }

// EngineBody returns the body of the request to an engine: the caller's members and those that the router sets. The
// model is the engine's name of the model, which differs from the caller's if the route has another name. The engine
// always streams its response. A maxTokens above 0 limits the tokens that the caller may request.
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

// message holds the part of a chat message that is hashed for Prefix.
type message struct {
	Content content `json:"content"`
}

// content is the text of a message: a JSON string, a list of parts, or null.
type content struct {
	parts []string
}

type contentPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, a list of parts, or null.
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

// prefixHash computes a hash of the first prefixBytes bytes that are added to it. The field length is the number of
// bytes in buf.
type prefixHash struct {
	buf    [prefixBytes]byte
	length int
}

func (h *prefixHash) full() bool   { return h.length == prefixBytes }
func (h *prefixHash) add(s string) { h.length += copy(h.buf[h.length:], s) }
func (h *prefixHash) sum() string  { return fmt.Sprintf("%016x", xxhash.Sum64(h.buf[:h.length])) }

func invalidField(name, problem string) ErrResponse {
	return NewRefusal(http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("field %q %s", name, problem))
}

func invalidJSON(body []byte, err error) ErrResponse {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		line := 1 + bytes.Count(body[:min(int(syntaxErr.Offset), len(body))], []byte("\n"))
		return NewRefusal(http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("body is not valid JSON at byte %d, line %d", syntaxErr.Offset, line))
	}
	return invalidField("body", "must be a JSON object")
}
