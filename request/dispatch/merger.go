package dispatch

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/toucanroute/toucanroute/request"
)

// replacedMembers are the string members that take the value of the latest chunk that has them. The values of other
// string members are joined.
var replacedMembers = map[string]bool{
	"id": true, "object": true, "model": true, "role": true, "type": true, "name": true,
	"finish_reason": true, "stop_reason": true, "system_fingerprint": true, "service_tier": true,
}

// object is a JSON object. The router reads only a part of its members; the others are forwarded unchanged.
type object map[string]any

// merger builds a complete response from the chunks of a stream. Members that the router doesn't know are kept.
type merger struct {
	isChat  bool
	members object
	choices map[int]object
}

func newMerger(path string) *merger {
	m := &merger{isChat: path == request.PathChat}
	m.reset()
	return m
}

func (m *merger) reset() {
	m.members = object{}
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
	mergeObject(m.members, c)
	for _, v := range choices {
		if choice, ok := v.(map[string]any); ok {
			m.addChoice(choice)
		}
	}
	return nil
}

// addChoice merges one choice by its index. The delta of a chat chunk becomes the message of the response.
func (m *merger) addChoice(choice object) {
	if delta, ok := choice["delta"]; ok {
		delete(choice, "delta")
		choice["message"] = delta
	}
	i := choiceIndex(choice)
	if m.choices[i] == nil {
		m.choices[i] = object{}
	}
	mergeObject(m.choices[i], choice)
}

// build returns the merged response as one JSON object.
func (m *merger) build() ([]byte, error) {
	if m.isChat {
		m.members["object"] = "chat.completion"
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
	m.members["choices"] = choices
	return json.Marshal(m.members)
}

func (m *merger) finishChoice(choice object) object {
	if !m.isChat {
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
		if text, ok := old.(string); ok && !replacedMembers[name] {
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

// mergeList merges the items that have an index with those of the same index, and appends the others.
func mergeList(list, items []any) []any {
	for _, item := range items {
		o, ok := item.(map[string]any)
		if !ok || o["index"] == nil {
			list = append(list, item)
			continue
		}
		if old := findByIndex(list, choiceIndex(o)); old != nil {
			mergeObject(old, o)
			continue
		}
		list = append(list, item)
	}
	return list
}

func findByIndex(list []any, i int) object {
	for _, item := range list {
		if o, ok := item.(map[string]any); ok && choiceIndex(o) == i {
			return o
		}
	}
	return nil
}

func choiceIndex(o object) int {
	n, ok := o["index"].(json.Number)
	if !ok {
		return 0
	}
	i, _ := n.Int64()
	return int(i)
}
