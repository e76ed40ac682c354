package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
)

// foreignResponseLinger is the time for which a connection stays open after a foreign response, so that the client can
// reuse the connection and read the foreign response.
const foreignResponseLinger = 3 * time.Second

// writer writes the response of one stream, either as one JSON body or as server-sent events.
type writer struct {
	w            http.ResponseWriter
	st           *stream
	isHeaderSent bool
	// hasUnflushed is true if a part of the response is still buffered.
	hasUnflushed bool
	// text collects the tokens of a response that isn't streamed.
	text strings.Builder
}

func newWriter(w http.ResponseWriter, st *stream) *writer {
	return &writer{w: w, st: st}
}

// writeToken writes token i as a chunk, or buffers it if the response isn't streamed.
func (o *writer) writeToken(i int) {
	text := TokenText(o.st.prompt, i)
	if !o.st.request.Stream {
		o.text.WriteString(text)
		return
	}
	c := choice{}
	if o.st.isChat {
		c.Delta = &delta{Content: text}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	o.writeEvent(o.completion(c))
}

// writeEnd writes the end of a finished stream, or the whole response if it isn't streamed.
func (o *writer) writeEnd() {
	reason := "stop"
	if o.st.isTruncated {
		reason = "length"
	}
	if !o.st.request.Stream {
		web.WriteJSON(o.w, http.StatusOK, o.wholeCompletion(reason))
		return
	}
	c := choice{FinishReason: &reason}
	if o.st.isChat {
		c.Delta = &delta{}
	} else {
		empty := ""
		c.Text = &empty
	}
	o.writeEvent(o.completion(c))
	if o.st.request.StreamOptions.IncludeUsage {
		last := o.completion()
		last.Usage = o.usage()
		o.writeEvent(last)
	}
	o.writeRaw("data: [DONE]\n\n")
	o.flush()
}

// writePaused writes the end of the response of a paused stream.
func (o *writer) writePaused() {
	if !o.st.request.Stream {
		body := o.wholeCompletion("paused")
		body.Paused = true
		web.WriteJSON(o.w, http.StatusOK, body)
		return
	}
	o.writeEvent(pausedEvent{Paused: true})
	o.flush()
}

// wholeCompletion returns the body of a response that isn't streamed, with the given finish reason.
func (o *writer) wholeCompletion(reason string) completion {
	text := o.text.String()
	c := choice{FinishReason: &reason}
	if o.st.isChat {
		c.Message = &delta{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body := o.completion(c)
	body.Usage = o.usage()
	body.Object = strings.TrimSuffix(body.Object, ".chunk")
	return body
}

// completion returns a chunk with the given choices.
func (o *writer) completion(choices ...choice) completion {
	body := completion{
		ID:      "standin-" + o.st.id,
		Object:  "text_completion",
		Created: o.st.createdAt.Unix(),
		Model:   o.st.request.Model,
		Choices: choices,
	}
	if o.st.isChat {
		body.Object = "chat.completion.chunk"
	}
	if body.Choices == nil {
		body.Choices = []choice{}
	}
	return body
}

func (o *writer) usage() *usage {
	tokens := Tokens(o.st.prompt)
	return &usage{
		PromptTokens:        tokens,
		CompletionTokens:    o.st.generatedTokens,
		TotalTokens:         tokens + o.st.generatedTokens,
		PromptTokensDetails: usageDetails{CachedTokens: min(o.st.cachedTokens, tokens)},
	}
}

// writeEvent writes v as one server-sent event.
func (o *writer) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		web.AbortConnection()
	}
	o.writeRaw("data: " + string(data) + "\n\n")
}

func (o *writer) writeRaw(text string) {
	if !o.isHeaderSent {
		o.isHeaderSent = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-cache")
		o.w.WriteHeader(http.StatusOK)
	}
	o.hasUnflushed = true
	_, _ = o.w.Write([]byte(text))
}

// flush sends the buffered part of the response to the client.
func (o *writer) flush() {
	if !o.hasUnflushed {
		return
	}
	o.hasUnflushed = false
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

// sendForeignResponse sends a second response on the same connection, with the text of another prompt. It simulates a
// late response to another request.
func (o *writer) sendForeignResponse() {
	control := http.NewResponseController(o.w)
	if err := control.Flush(); err != nil {
		return
	}
	conn, buf, err := control.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if o.st.request.Stream {
		_, _ = buf.WriteString("0\r\n\r\n")
	}
	foreign := *o.st
	foreign.prompt = "another request"
	foreignWriter := newWriter(nil, &foreign)
	foreignWriter.text.WriteString(AnswerText(foreign.prompt, foreign.generatedTokens))
	body, err := json.Marshal(foreignWriter.wholeCompletion("stop"))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = buf.Flush()
	time.Sleep(foreignResponseLinger)
}
