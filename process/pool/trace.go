package pool

import "time"

// EventKind is the kind of a scheduling event.
type EventKind int

const (
	// EventQueued means that a request joined the queue.
	EventQueued EventKind = iota + 1
	// EventRefused means that a request was refused, on arrival or while it waited.
	EventRefused
	// EventGranted means that a request was granted a slot.
	EventGranted
	// EventAbandoned means that a waiting request was removed because its caller gave up or its instance failed.
	EventAbandoned
	// EventPreempted means that the holder of a grant was asked to pause the stream and return the slot.
	EventPreempted
	// EventReleased means that the slot of a grant became free.
	EventReleased
	// EventServerChanged means that the slots or the state of a backend server may have changed.
	EventServerChanged
)

// Event describes one decision of a scheduler, for tests and reports.
type Event struct {
	At   time.Time
	Kind EventKind
	// Request is the number of the request; 0 for EventServerChanged, and -1 for a grant of another scheduler.
	Request int
	// Class, Tier and Workspace are those of the request.
	Class     string
	Tier      int
	Workspace string
	// Exclude and Resume are the servers to avoid and the server to resume on, as requested.
	Exclude []string
	Resume  string
	// CheapAllowed is set if servers of the cheap kind may run the request.
	CheapAllowed bool
	// Server is the backend server of the grant or of EventServerChanged.
	Server string
	// TurnDue is the time at which the turn by which the slot was granted became due; zero if it wasn't granted by a turn.
	TurnDue time.Time
	// PreemptedForTier is the tier for which the grant was preempted, in EventPreempted.
	PreemptedForTier int
	// Preemptible is set in EventGranted if the grant may be preempted.
	Preemptible bool
	// Reason is the reason of the refusal, in EventRefused.
	Reason string
	// LatestStart is the latest start that meets the target of the request; zero means no target.
	LatestStart time.Time
	// RequestsAhead is set in a refusal for overload: the number of waiting requests that would be served before this one.
	RequestsAhead int
	// Recovering is set in a refusal for overload if the scheduler was waiting for instances to declare their grants.
	Recovering bool
	// TooSlowServers lists the servers on which the request would miss its targets, in a refusal for overload.
	TooSlowServers []string
	// Slots, Cheap, Serving and Draining describe the server in EventServerChanged.
	Slots int
	// Cheap is true if the server is of the cheap kind, which the platform may reclaim at short notice.
	Cheap    bool
	Serving  bool
	Draining bool
	// SkippedRequests lists the waiting requests of higher tiers for which the granted server is too slow, in
	// EventGranted.
	SkippedRequests []int
}

// trace passes an event to OnEvent if that is set.
func (sched *Scheduler) trace(e Event) {
	if sched.OnEvent == nil {
		return
	}
	e.At = time.Now()
	sched.OnEvent(e)
}
