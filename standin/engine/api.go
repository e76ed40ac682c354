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

// paretoShape is the shape parameter of the Pareto distribution of completion lengths; a lower value gives a heavier
// tail.
const paretoShape = 1.1

// message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one element of a message's content list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// text returns the message's text; the content is either a string or a list of parts.
func (m message) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []contentPart
	_ = json.Unmarshal(m.Content, &parts)
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	return strings.Join(texts, "")
}

// streamOptions is the stream_options object of a request.
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
	// StandinTokens, if set, is the length of the completion in tokens, before max_tokens limits it.
	StandinTokens int `json:"standin_tokens"`
}

// text returns the prompt, or for a chat the contents of its messages joined by line feeds.
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

// tokenLimit returns the caller's limit on the tokens of the completion; 0 means no limit.
func (r request) tokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// completionLength returns the length of the completion in tokens, and whether the caller's limit truncates it.
func (s *Server) completionLength(r request, prompt string) (tokens int, isTruncated bool) {
	tokens = r.StandinTokens
	if tokens <= 0 {
		tokens = s.drawLength(prompt)
	}
	if tokenLimit := r.tokenLimit(); tokenLimit > 0 && tokens > tokenLimit {
		return tokenLimit, true
	}
	return tokens, false
}

// drawLength returns the length of the completion of a prompt in tokens. The lengths of different prompts have a Pareto
// distribution, which is heavy-tailed. Engines with the same seed return the same length for a prompt.
func (s *Server) drawLength(prompt string) int {
	hash := xxhash.Sum64String(strconv.FormatUint(s.Seed, 16) + prompt)
	uniform := (float64(hash>>11) + 1) / (1 << 53)
	length := float64(s.MinTokens) / math.Pow(uniform, 1/paretoShape)
	return int(min(length, float64(s.MaxTokens)))
}

// TokenText returns the text of token i (from 0) of the completion of a prompt. Token 0 is the prompt's hash, every
// further token is its own index.
func TokenText(prompt string, i int) string {
	if i == 0 {
		return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	}
	return " " + strconv.Itoa(i)
}

// AnswerText returns the text of a completion of a prompt that has the given number of tokens.
func AnswerText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
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

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []model{}}
	s.mu.Lock()
	for _, name := range s.Models {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: s.Name})
	}
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, list)
}

// apiError is an error response of the completions API.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	web.WriteJSON(w, status, apiError{apiErrorBody{Message: text, Type: "invalid_request_error", Code: code}})
}

// usageDetails holds the number of prompt tokens that were in the prefix cache.
type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// usage holds the token counts of a request and its completion.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

// delta is the message of a chat completion, or one chunk of the message.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the only choice of a completion. Chat completions set Message, or Delta in a chunk; text completions set
// Text.
type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// completion is the body of a response that isn't streamed, or the data of one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Paused is true if the completion was paused before its end and can be resumed.
	Paused bool `json:"paused,omitempty"`
}

// pausedEvent is the last event in the response of a stream that was paused.
type pausedEvent struct {
	Paused bool `json:"paused"`
}
