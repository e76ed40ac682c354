package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestStreamReachesCaller(t *testing.T) {
	e := &fakeEngine{tokens: 3}
	s := newStack(t, e, nil)
	status, header, body := s.post(t, "/v1/chat/completions", chatBody(true))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Content-Type"), "text/event-stream")
	assert.Assert(t, header.Get(HeaderRequestID) != "")
	assert.Equal(t, strings.Count(body, "data: "), 4, body)
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	assert.Assert(t, !strings.Contains(body, `"prompt_tokens"`), "usage chunk that the caller hadn't asked for")
}

func TestWholeAnswerFromStream(t *testing.T) {
	s := newStack(t, &fakeEngine{tokens: 3}, nil)
	status, _, body := s.post(t, "/v1/chat/completions", chatBody(false))
	assert.Equal(t, status, http.StatusOK, body)
	var whole struct {
		Object  string
		Choices []struct {
			FinishReason string `json:"finish_reason"`
			Message      struct{ Role, Content string }
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &whole))
	assert.Equal(t, whole.Object, "chat.completion")
	assert.Equal(t, whole.Choices[0].Message.Content, "t0 t1 t2 ")
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, 3)
	assert.Equal(t, s.outcomes[0].Result, "ok")
	assert.Equal(t, s.released(), 1)
}
