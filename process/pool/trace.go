package pool

import "time"

// EventKind tells what a home decided.
type EventKind int

const (
	// EventAsked is a request that joined the queue.
	EventAsked EventKind = iota + 1
	// EventRefused is a request that was refused, at once or while it waited.
	EventRefused
	// EventGranted is a request that got a slot.
	EventGranted
	// EventLeft is a waiting request whose asker gave up or vanished.
	EventLeft
	// EventPreempted is a grant that the home wants back.
	EventPreempted
	// EventReleased is a grant whose slot came back.
	EventReleased
	// EventServer is a change of a backend server's slots or state.
	EventServer
)

// Event is one decision of a home, for tests and reports.
type Event struct {
	At   time.Time
	Kind EventKind
	// Ask numbers the request at its home; 0 where the event is of a backend server, and -1 for a
	// grant that another home gave.
	Ask int
	// Class, Tier and Workspace belong to the request.
	Class     string
	Tier      int
	Workspace string
	// Exclude and Resume repeat the request's wishes in EventAsked.
	Exclude []string
	Resume  string
	// CheapAllowed tells in EventAsked whether a server of the cheap kind may take the request.
	CheapAllowed bool
	// Server is the backend server of a grant.
	Server string
	// TurnDue is the due time of the turn that brought the grant; zero is no turn.
	TurnDue time.Time
	// ForTier is the tier for which a grant was preempted.
	ForTier int
	// Preemptible tells in EventGranted that the grant may be preempted.
	Preemptible bool
	// Reason is the reason of a refusal.
	Reason string
	// Latest is the latest start that meets the request's target; zero is no target.
	Latest time.Time
	// Ahead is the number of waiting requests that a refusal for overload counted ahead.
	Ahead int
	// Recovering tells in a refusal that the home waited for other instances to declare their grants.
	Recovering bool
	// TooSlow tells in a refusal for overload on which servers the request would miss its targets.
	TooSlow []string
	// Slots, Cheap, Serving and Draining belong to EventServer.
	Slots    int
	Cheap    bool
	Serving  bool
	Draining bool
	// Unfit tells in EventGranted which waiting requests of higher tiers found the server too slow.
	Unfit []int
}

func (h *Home) trace(e Event) {
	if h.Trace == nil {
		return
	}
	e.At = time.Now()
	h.Trace(e)
}
