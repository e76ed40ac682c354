package queue

import (
	"cmp"
	"time"
)

// itemHeap is a heap of the waiting requests of a workspace in one tier: resumed requests first, the others by latest
// start. Those without a latest start are last.
type itemHeap []*Item

func compareItems(a, b *Item) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	if c := compareLatestStarts(a.LatestStart, b.LatestStart); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// compareLatestStarts orders latest starts; the zero time, which means none, is last.
func compareLatestStarts(a, b time.Time) int {
	switch {
	case a.Equal(b):
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return compareItems(h[i], h[j]) < 0 }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	item.index = -1
	return item
}

// flowHeap is a heap of the flows of a tier by start tag: the workspace that has received the least service for its
// weight is first.
type flowHeap []*flow

func compareFlows(a, b *flow) int {
	if c := cmp.Compare(a.tag, b.tag); c != 0 {
		return c
	}
	return compareItems(a.items[0], b.items[0])
}

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return compareFlows(h[i], h[j]) < 0 }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
