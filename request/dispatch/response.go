package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/toucanroute/toucanroute/request"
)

// maxBufferedBytes limits the events of a response that is sent as one JSON object at its end.
const maxBufferedBytes = 8 << 20

var (
	choicesStart = []byte(`"choices":[{`)
	usageKey     = []byte(`"usage"`)
	nullUsage    = []byte(`"usage":null`)
	eventPrefix  = []byte("data: ")
	eventSuffix  = []byte("\n\n")
	doneEvent    = []byte("data: [DONE]\n\n")
)

var errResponseTooLarge = errors.New("response is too large to be buffered")

// response writes a completion to its caller: as a stream of events, or as one JSON object at its end.
type response struct {
	w        http.ResponseWriter
	flusher  http.Flusher
	id       string
	isStream bool
	// usage is true if the caller requested a final chunk with the token usage.
	usage bool

	headerWritten bool
	eventBuffer   []byte
	bufferedBytes int
	// merge collects the chunks of a response that is sent as one JSON object; nil for a stream.
	merge *merger
	// tokenChunks is the number of chunks with tokens; it is the estimated number of tokens until the engine reports
	// its count.
	tokenChunks   int
	reportedUsage *usage
}

// usage is the token usage that an engine reports in an event.
type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails *struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// chunk holds the members of an engine's event that the router reads. The choices are decoded one by one, which keeps
// the stack of the stream's goroutine small.
type chunk struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *usage            `json:"usage"`
	Error   *chunkError       `json:"error"`
}

type chunkChoice struct {
	Text  string     `json:"text"`
	Delta chunkDelta `json:"delta"`
}

type chunkDelta struct {
	Content          string            `json:"content"`
	Refusal          string            `json:"refusal"`
	ReasoningContent string            `json:"reasoning_content"`
	ToolCalls        []json.RawMessage `json:"tool_calls"`
}

type chunkError struct {
	Message string `json:"message"`
}

func newResponse(w http.ResponseWriter, completion *request.Completion, id string) *response {
	r := &response{w: w, id: id, isStream: completion.Stream(), usage: completion.IncludeUsage()}
	r.flusher, _ = w.(http.Flusher)
	if !r.isStream {
		r.merge = newMerger(completion.Path())
	}
	return r
}

// add handles one event of the engine's stream and reports whether the event has tokens. The argument more is true if
// further events are already buffered, so that the write needn't be flushed yet.
func (r *response) add(data []byte, more bool) (bool, error) {
	hasToken, forward, err := r.inspect(data)
	if err != nil || !forward {
		return hasToken, err
	}
	if r.isStream {
		return hasToken, r.write(data, more)
	}
	r.bufferedBytes += len(data)
	if r.bufferedBytes > maxBufferedBytes {
		return hasToken, errResponseTooLarge
	}
	return hasToken, r.merge.add(data)
}

// inspect reports whether an event has tokens and whether it is to be forwarded to the caller. It stores the usage that
// the event reports.
func (r *response) inspect(data []byte) (hasToken, forward bool, err error) {
	if r.tokenChunks > 0 && bytes.Contains(data, choicesStart) && !reportsUsage(data) {
		r.tokenChunks++
		return true, true, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, false, request.ErrAttempt{Sent: true, Err: err}
	}
	if c.Error != nil {
		return false, false, request.ErrAttempt{Sent: true, Status: http.StatusInternalServerError, Message: c.Error.Message}
	}
	if c.Usage != nil {
		r.reportedUsage = c.Usage
	}
	if len(c.Choices) == 0 {
		return false, c.Usage == nil || r.usage || !r.isStream, nil
	}
	if c.hasTokens() {
		r.tokenChunks++
		return true, true, nil
	}
	return false, true, nil
}

func reportsUsage(data []byte) bool {
	return bytes.Contains(data, usageKey) && !bytes.Contains(data, nullUsage)
}

func (c *chunk) hasTokens() bool {
	for _, raw := range c.Choices {
		var choice chunkChoice
		if json.Unmarshal(raw, &choice) != nil {
			continue
		}
		d := choice.Delta
		if choice.Text != "" || d.Content != "" || d.Refusal != "" || d.ReasoningContent != "" || len(d.ToolCalls) > 0 {
			return true
		}
	}
	return false
}

func (r *response) write(data []byte, more bool) error {
	r.begin()
	r.eventBuffer = append(r.eventBuffer[:0], eventPrefix...)
	r.eventBuffer = append(r.eventBuffer, data...)
	r.eventBuffer = append(r.eventBuffer, eventSuffix...)
	_, err := r.w.Write(r.eventBuffer)
	if err != nil {
		return errors.Join(ErrCallerGone{}, err)
	}
	if !more && r.flusher != nil {
		r.flusher.Flush()
	}
	return nil
}

func (r *response) begin() {
	if r.headerWritten {
		return
	}
	r.headerWritten = true
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
}

// finish completes the response: it ends the stream, or sends the JSON object.
func (r *response) finish() error {
	if r.isStream {
		r.begin()
		if _, err := r.w.Write(doneEvent); err != nil {
			return errors.Join(ErrCallerGone{}, err)
		}
		return nil
	}
	body, err := r.merge.build()
	if err != nil {
		return err
	}
	h := r.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(http.StatusOK)
	_, err = r.w.Write(body)
	return err
}

// responseStarted reports whether a part of the response was sent to the caller.
func (r *response) responseStarted() bool { return r.headerWritten }

// reset discards the events of a failed attempt, none of which was sent to the caller, and returns their number of
// tokens.
func (r *response) reset() int {
	discarded := r.tokens()
	r.tokenChunks, r.reportedUsage, r.bufferedBytes = 0, nil, 0
	if r.merge != nil {
		r.merge.reset()
	}
	return discarded
}

// tokens returns the number of tokens of the response so far: the engine's count, or if it has not reported one, the
// number of chunks with tokens.
func (r *response) tokens() int {
	if r.reportedUsage != nil {
		return r.reportedUsage.CompletionTokens
	}
	return r.tokenChunks
}

func (r *response) countTokenChunks() int { return r.tokenChunks }

func (r *response) promptTokens() int {
	if r.reportedUsage == nil {
		return 0
	}
	return r.reportedUsage.PromptTokens
}

func (r *response) cachedTokens() int {
	if r.reportedUsage == nil || r.reportedUsage.PromptTokensDetails == nil {
		return 0
	}
	return r.reportedUsage.PromptTokensDetails.CachedTokens
}
