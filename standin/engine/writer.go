package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
)

// crossedLife is the time for which a connection with a crossed answer stays open, so that it might be reused.
const crossedLife = 3 * time.Second

// writer sends one answer, whole or as server-sent events.
type writer struct {
	w       http.ResponseWriter
	st      *stream
	begun   bool
	pending bool
	text    strings.Builder
}

func newWriter(w http.ResponseWriter, st *stream) *writer {
	return &writer{w: w, st: st}
}

// token sends the i-th token.
func (o *writer) token(i int) {
	text := Token(o.st.prompt, i)
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
	o.event(o.answer(c))
}

// end sends what closes a whole answer.
func (o *writer) end() {
	reason := "stop"
	if o.st.bounded {
		reason = "length"
	}
	if !o.st.request.Stream {
		web.Write(o.w, http.StatusOK, o.whole(reason))
		return
	}
	c := choice{FinishReason: &reason}
	if o.st.isChat {
		c.Delta = &delta{}
	} else {
		empty := ""
		c.Text = &empty
	}
	o.event(o.answer(c))
	if o.st.request.StreamOptions.IncludeUsage {
		last := o.answer()
		last.Usage = o.usage()
		o.event(last)
	}
	o.raw("data: [DONE]\n\n")
	o.flush()
}

// pause ends the answer of a paused stream.
func (o *writer) pause() {
	if !o.st.request.Stream {
		a := o.whole("paused")
		a.Paused = true
		web.Write(o.w, http.StatusOK, a)
		return
	}
	o.event(pausedEvent{Paused: true})
	o.flush()
}

func (o *writer) whole(reason string) answer {
	text := o.text.String()
	c := choice{FinishReason: &reason}
	if o.st.isChat {
		c.Message = &delta{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a := o.answer(c)
	a.Usage = o.usage()
	a.Object = strings.TrimSuffix(a.Object, ".chunk")
	return a
}

func (o *writer) answer(choices ...choice) answer {
	a := answer{
		ID:      "standin-" + o.st.id,
		Object:  "text_completion",
		Created: o.st.created.Unix(),
		Model:   o.st.request.Model,
		Choices: choices,
	}
	if o.st.isChat {
		a.Object = "chat.completion.chunk"
	}
	if a.Choices == nil {
		a.Choices = []choice{}
	}
	return a
}

func (o *writer) usage() *usage {
	tokens := Tokens(o.st.prompt)
	return &usage{
		PromptTokens:        tokens,
		CompletionTokens:    o.st.done,
		TotalTokens:         tokens + o.st.done,
		PromptTokensDetails: usageDetails{CachedTokens: min(o.st.cached, tokens)},
	}
}

// event sends v as one server-sent event.
func (o *writer) event(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		web.Drop()
	}
	o.raw("data: " + string(data) + "\n\n")
}

func (o *writer) raw(text string) {
	if !o.begun {
		o.begun = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-cache")
		o.w.WriteHeader(http.StatusOK)
	}
	o.pending = true
	_, _ = o.w.Write([]byte(text))
}

// flush sends what is buffered.
func (o *writer) flush() {
	if !o.pending {
		return
	}
	o.pending = false
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

// cross sends, behind the own answer on the same connection, an answer to another request that comes late.
func (o *writer) cross() {
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
	stranger := *o.st
	stranger.prompt = "another request"
	late := newWriter(nil, &stranger)
	late.text.WriteString(Answer(stranger.prompt, stranger.done))
	body, err := json.Marshal(late.whole("stop"))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = buf.Flush()
	time.Sleep(crossedLife)
}
