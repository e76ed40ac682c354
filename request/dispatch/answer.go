package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/toucanroute/toucanroute/request"
)

const maxWholeAnswer = 8 << 20

var (
	choiceMark  = []byte(`"choices":[{`)
	usageMark   = []byte(`"usage"`)
	noUsageMark = []byte(`"usage":null`)
	eventHead   = []byte("data: ")
	eventTail   = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

var errAnswerTooLarge = errors.New("answer is too large to be sent whole")

// answer writes a completion to its caller: event by event, or whole at its end.
type answer struct {
	w       http.ResponseWriter
	flusher http.Flusher
	id      string
	stream  bool
	usage   bool

	begun bool
	buf   []byte
	size  int
	merge *merger
	// counted is the number of chunks with tokens; it stands for the tokens until the engine tells its count.
	counted int
	told    *usage
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails *struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// chunk is the part of an engine's event that the router reads. Its choices are decoded on their own, which keeps
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

func newAnswer(w http.ResponseWriter, c *request.Completion, id string) *answer {
	a := &answer{w: w, id: id, stream: c.Stream(), usage: c.IncludeUsage()}
	a.flusher, _ = w.(http.Flusher)
	if !a.stream {
		a.merge = newMerger(c.Path())
	}
	return a
}

// add takes one event and tells whether it brought tokens.
func (a *answer) add(data []byte, more bool) (bool, error) {
	isToken, pass, err := a.read(data)
	if err != nil || !pass {
		return isToken, err
	}
	if a.stream {
		return isToken, a.write(data, more)
	}
	a.size += len(data)
	if a.size > maxWholeAnswer {
		return isToken, errAnswerTooLarge
	}
	return isToken, a.merge.add(data)
}

// read tells whether an event brings tokens and whether it goes to the caller.
func (a *answer) read(data []byte) (isToken, pass bool, err error) {
	if a.counted > 0 && bytes.Contains(data, choiceMark) && !tellsUsage(data) {
		a.counted++
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
		a.told = c.Usage
	}
	if len(c.Choices) == 0 {
		return false, c.Usage == nil || a.usage || !a.stream, nil
	}
	if c.hasTokens() {
		a.counted++
		return true, true, nil
	}
	return false, true, nil
}

func tellsUsage(data []byte) bool {
	return bytes.Contains(data, usageMark) && !bytes.Contains(data, noUsageMark)
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

func (a *answer) write(data []byte, more bool) error {
	a.begin()
	a.buf = append(a.buf[:0], eventHead...)
	a.buf = append(a.buf, data...)
	a.buf = append(a.buf, eventTail...)
	_, err := a.w.Write(a.buf)
	if err != nil {
		return errors.Join(ErrCallerGone{}, err)
	}
	if !more && a.flusher != nil {
		a.flusher.Flush()
	}
	return nil
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
}

// finish ends a whole answer.
func (a *answer) finish() error {
	if a.stream {
		a.begin()
		if _, err := a.w.Write(doneEvent); err != nil {
			return errors.Join(ErrCallerGone{}, err)
		}
		return nil
	}
	body, err := a.merge.whole()
	if err != nil {
		return err
	}
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(http.StatusOK)
	_, err = a.w.Write(body)
	return err
}

// shown tells whether the caller has seen a part of the answer.
func (a *answer) shown() bool { return a.begun }

// reset forgets a part that the caller hasn't seen and returns its tokens.
func (a *answer) reset() int {
	n := a.tokens()
	a.counted, a.told, a.size = 0, nil, 0
	if a.merge != nil {
		a.merge.reset()
	}
	return n
}

// tokens returns the tokens of the answer so far, by the engine's count where it has told one.
func (a *answer) tokens() int {
	if a.told != nil {
		return a.told.CompletionTokens
	}
	return a.counted
}

func (a *answer) chunkTokens() int { return a.counted }

func (a *answer) promptTokens() int {
	if a.told == nil {
		return 0
	}
	return a.told.PromptTokens
}

func (a *answer) cachedTokens() int {
	if a.told == nil || a.told.PromptTokensDetails == nil {
		return 0
	}
	return a.told.PromptTokensDetails.CachedTokens
}
