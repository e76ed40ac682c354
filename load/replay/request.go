package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// maxEventBytes is the maximum size of a stream event or an error body, in bytes.
const maxEventBytes = 1 << 20

// fillerWord is repeated in generated prompts; each repetition counts as one token.
const fillerWord = "laddu "

// chatRequest is the body of a chat completions request.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	// StandinTokens tells a simulated engine how many tokens its answer must have.
	StandinTokens int `json:"standin_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatChunk is one event of a streamed response: a part of the answer, or the error that ends the stream.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *wire.ErrorBody `json:"error"`
}

// serviceRequest is the body of a call to a service.
type serviceRequest struct {
	ID string `json:"id"`
}

// send sends the request of arrival a and reads the response to its end. The index of the arrival selects the instance.
func (p *Replayer) send(ctx context.Context, index int, a wire.Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res := Result{Arrival: a, Outcome: OutcomeFailed}
	req, err := p.newRequest(ctx, p.Instances[index%len(p.Instances)], a)
	if err != nil {
		res.Reason = err.Error()
		return res
	}
	start := time.Now()
	resp, err := p.Client.Do(req)
	if err != nil {
		res.Reason = "no_answer"
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode/100 != 2:
		res.readError(resp.Body)
	case a.Kind == wire.ArrivalKindModel:
		res.readStream(resp.Body, start)
	default:
		res.readServiceResponse(resp.Body, start)
	}
	res.Duration = time.Since(start)
	return res
}

// newRequest builds the HTTP request of an arrival.
func (p *Replayer) newRequest(ctx context.Context, addr string, a wire.Arrival) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", any(newChatRequest(a))
	if a.Kind == wire.ArrivalKindService {
		method, path, body = a.Method, "/v1/services/"+a.Route+a.Path, serviceRequest{ID: a.Id}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, p.Scheme+"://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Toucan-Class", a.Class)
	if key := p.Keys[a.Workspace]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if a.Kind == wire.ArrivalKindService {
		req.Header.Set("Idempotency-Key", a.Id)
	}
	return req, nil
}

func newChatRequest(a wire.Arrival) chatRequest {
	promptPrefix := fmt.Sprintf("%s prefix %d. ", a.Workspace, a.Prefix)
	return chatRequest{
		Model: a.Route,
		Messages: []chatMessage{
			{Role: "system", Content: promptPrefix + strings.Repeat(fillerWord, a.PromptTokens/2)},
			{Role: "user", Content: a.Id + " " + strings.Repeat(fillerWord, a.PromptTokens/2)},
		},
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
		StandinTokens: a.AnswerTokens,
	}
}

// readError reads an error response into r.
func (r *Result) readError(body io.Reader) {
	var e wire.ErrorAnswer
	if err := json.NewDecoder(io.LimitReader(body, maxEventBytes)).Decode(&e); err != nil {
		r.Reason = "no_error_body"
		return
	}
	r.setError(e.Error)
}

func (r *Result) setError(e wire.ErrorBody) {
	r.Reason = e.Code
	r.Outcome = OutcomeUnknown
	if e.NotRun {
		r.Outcome = OutcomeRefused
	}
}

// readServiceResponse reads the response of a service call into r.
func (r *Result) readServiceResponse(body io.Reader, start time.Time) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		r.Reason = "cut"
		return
	}
	r.TimeToFirstToken = time.Since(start)
	r.Outcome = OutcomeOK
}

// readStream reads the events of a completion into r.
func (r *Result) readStream(body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Outcome = OutcomeOK
			return
		}
		if !r.readChunk(data, start) {
			return
		}
	}
	r.Reason = "cut"
}

// readChunk reads one event into r. It returns false if the event is invalid or an error.
func (r *Result) readChunk(data string, start time.Time) bool {
	var c chatChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		r.Reason = "bad_event"
		return false
	}
	if c.Error != nil {
		r.setError(*c.Error)
		return false
	}
	if c.Usage != nil {
		r.CachedPromptTokens = c.Usage.PromptTokensDetails.CachedTokens
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return true
	}
	if r.Tokens == 0 {
		r.TimeToFirstToken = time.Since(start)
	}
	r.Tokens++
	return true
}
