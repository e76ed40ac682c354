package engine

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/standin/web"
)

// lengthShape is the shape of the Pareto distribution of answer lengths; lower is a heavier tail.
const lengthShape = 1.1

// message is one turn of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// part is a piece of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// text returns the content, which is a string or a list of parts.
func (m message) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []part
	_ = json.Unmarshal(m.Content, &parts)
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	return strings.Join(texts, "")
}

// streamOptions are the stream_options of a request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// request is the body of a chat or text completion.
type request struct {
	Model               string        `json:"model"`
	Messages            []message     `json:"messages"`
	Prompt              string        `json:"prompt"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Priority            int           `json:"priority"`
	// StandinTokens, if set, is the length of the answer before max_tokens bounds it.
	StandinTokens int `json:"standin_tokens"`
}

// text returns the prompt: the contents of the messages joined by line feeds.
func (r request) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	texts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		texts = append(texts, m.text())
	}
	return strings.Join(texts, "\n")
}

// bound returns the most tokens that the caller wants; 0 is no bound.
func (r request) bound() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// length returns the tokens of the answer and whether the caller's bound cut it.
func (s *Server) length(r request, prompt string) (tokens int, bounded bool) {
	tokens = r.StandinTokens
	if tokens <= 0 {
		tokens = s.drawLength(prompt)
	}
	if bound := r.bound(); bound > 0 && tokens > bound {
		return bound, true
	}
	return tokens, false
}

// drawLength draws the heavy-tailed length of the answer to a prompt, the same on each engine of a seed.
func (s *Server) drawLength(prompt string) int {
	draw := xxhash.Sum64String(strconv.FormatUint(s.Seed, 16) + prompt)
	u := (float64(draw>>11) + 1) / (1 << 53)
	n := float64(s.MinTokens) / math.Pow(u, 1/lengthShape)
	return int(min(n, float64(s.MaxTokens)))
}

// Token returns the text of the i-th token, from 0, of the answer to a prompt: first the prompt's hash, then numbers.
func Token(prompt string, i int) string {
	if i == 0 {
		return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	}
	return " " + strconv.Itoa(i)
}

// Answer returns the whole answer of so many tokens to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []model{}}
	s.mu.Lock()
	for _, name := range s.Models {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: s.Name})
	}
	s.mu.Unlock()
	web.Write(w, http.StatusOK, list)
}

// apiError is an error answer of the completions API.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func refuse(w http.ResponseWriter, status int, code, text string) {
	web.Write(w, status, apiError{apiErrorBody{Message: text, Type: "invalid_request_error", Code: code}})
}

// usageDetails tells the cached part of the prompt.
type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// usage is the token count of an answer.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

// delta is the message of a chat answer or a piece of it.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the only choice of an answer; chat answers fill Message or Delta, text answers Text.
type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// answer is a whole answer or a chunk of one.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Paused tells that the answer is not complete and may be resumed.
	Paused bool `json:"paused,omitempty"`
}

// pausedEvent ends the stream of a paused answer.
type pausedEvent struct {
	Paused bool `json:"paused"`
}
