package dispatch

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/toucanroute/toucanroute/request"
)

// setMembers are strings that a chunk sets; other strings are continued by each chunk.
var setMembers = map[string]bool{
	"id": true, "object": true, "model": true, "role": true, "type": true, "name": true,
	"finish_reason": true, "stop_reason": true, "system_fingerprint": true, "service_tier": true,
}

// object is a JSON object of which the router knows only a part; the rest is passed on as it is.
type object map[string]any

// merger builds a whole answer from the chunks of a stream. It keeps members that it doesn't know.
type merger struct {
	chat    bool
	top     object
	choices map[int]object
}

func newMerger(path string) *merger {
	m := &merger{chat: path == request.PathChat}
	m.reset()
	return m
}

func (m *merger) reset() {
	m.top = object{}
	m.choices = map[int]object{}
}

// add merges one chunk.
func (m *merger) add(data []byte) error {
	var c object
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&c); err != nil {
		return err
	}
	choices, _ := c["choices"].([]any)
	delete(c, "choices")
	mergeObject(m.top, c)
	for _, v := range choices {
		if choice, ok := v.(map[string]any); ok {
			m.addChoice(choice)
		}
	}
	return nil
}

func (m *merger) addChoice(choice object) {
	if delta, ok := choice["delta"]; ok {
		delete(choice, "delta")
		choice["message"] = delta
	}
	i := indexOf(choice)
	if m.choices[i] == nil {
		m.choices[i] = object{}
	}
	mergeObject(m.choices[i], choice)
}

// whole returns the answer as one JSON object.
func (m *merger) whole() ([]byte, error) {
	if m.chat {
		m.top["object"] = "chat.completion"
	}
	indexes := make([]int, 0, len(m.choices))
	for i := range m.choices {
		indexes = append(indexes, i)
	}
	sort.Ints(indexes)
	choices := make([]object, 0, len(indexes))
	for _, i := range indexes {
		choices = append(choices, m.finishChoice(m.choices[i]))
	}
	m.top["choices"] = choices
	return json.Marshal(m.top)
}

func (m *merger) finishChoice(choice object) object {
	if !m.chat {
		return choice
	}
	message, _ := choice["message"].(map[string]any)
	if message == nil {
		message = object{}
	}
	if _, ok := message["role"]; !ok {
		message["role"] = "assistant"
	}
	if _, ok := message["content"]; !ok {
		message["content"] = nil
	}
	calls, _ := message["tool_calls"].([]any)
	for _, v := range calls {
		if call, ok := v.(map[string]any); ok {
			delete(call, "index")
		}
	}
	choice["message"] = message
	return choice
}

func mergeObject(dst, src object) {
	for name, v := range src {
		if v == nil {
			if _, ok := dst[name]; !ok {
				dst[name] = nil
			}
			continue
		}
		dst[name] = mergeValue(name, dst[name], v)
	}
}

func mergeValue(name string, old, v any) any {
	switch v := v.(type) {
	case string:
		if text, ok := old.(string); ok && !setMembers[name] {
			return text + v
		}
		return v
	case []any:
		list, _ := old.([]any)
		return mergeList(list, v)
	case map[string]any:
		if o, ok := old.(map[string]any); ok {
			mergeObject(o, v)
			return o
		}
		return v
	}
	return v
}

// mergeList merges the items that carry an index and appends the others.
func mergeList(list, items []any) []any {
	for _, item := range items {
		o, ok := item.(map[string]any)
		if !ok || o["index"] == nil {
			list = append(list, item)
			continue
		}
		if old := findIndex(list, indexOf(o)); old != nil {
			mergeObject(old, o)
			continue
		}
		list = append(list, item)
	}
	return list
}

func findIndex(list []any, i int) object {
	for _, item := range list {
		if o, ok := item.(map[string]any); ok && indexOf(o) == i {
			return o
		}
	}
	return nil
}

func indexOf(o object) int {
	n, ok := o["index"].(json.Number)
	if !ok {
		return 0
	}
	i, _ := n.Int64()
	return int(i)
}
