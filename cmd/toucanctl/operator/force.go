package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// pollInterval is the pause between two polls of the instances.
const pollInterval = 200 * time.Millisecond

// InForce reports whether a change is in force at one instance.
type InForce struct {
	// Instance is the name of the instance, or its address if it didn't answer.
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre,omitempty"`
	// Current describes what the instance has in force, such as "configuration 3".
	Current string `json:"holds"`
	// InForce is true if the change is in force at the instance.
	InForce bool `json:"in_force"`
	// NotAffected is true if the change concerns only other instances.
	NotAffected bool `json:"elsewhere,omitempty"`
}

// Verdict is the result of a Check: whether a change is in force at an instance.
type Verdict int

// Verdicts of a Check.
const (
	// NotApplied means that the change isn't in force at the instance.
	NotApplied Verdict = iota
	// Applied means that the change is in force at the instance.
	Applied
	// NotAffected means that the change doesn't concern the instance.
	NotAffected
)

// verdictOf returns Applied if a change is in force at an instance, else NotApplied.
func verdictOf(applied bool) Verdict {
	if applied {
		return Applied
	}
	return NotApplied
}

// ErrNotInForce reports that a change wasn't in force at all instances in time. It may still come into force later.
type ErrNotInForce struct {
	// Instances lists the instances at which the change isn't in force.
	Instances []string
	// Waited is the time for which the instances were polled.
	Waited time.Duration
}

func (e ErrNotInForce) Error() string {
	return fmt.Sprintf("not in force after %s at %s", e.Waited, strings.Join(e.Instances, ", "))
}

// IsErrNotInForce reports whether err is or wraps an ErrNotInForce: a change wasn't in force everywhere in time.
func IsErrNotInForce(err error) bool {
	var notInForce ErrNotInForce
	return errors.As(err, &notInForce)
}

// Watcher polls instances until a change is in force. Set the fields before use.
type Watcher struct {
	// FetchStatus fetches the status of all instances. missing lists the addresses of those that didn't answer.
	FetchStatus func() (statuses []wire.Status, missing []string)
	// Wait is the longest time for which WaitUntil polls.
	Wait time.Duration
}

// Check describes what an instance has in force according to its status, and judges whether the change is in force
// there.
type Check func(wire.Status) (current string, verdict Verdict)

// WaitUntil polls the instances until the change is in force at each instance that it concerns, and at least at one. If
// that takes longer than Wait, or ctx ends, the error is an ErrNotInForce.
func (w *Watcher) WaitUntil(ctx context.Context, check Check) ([]InForce, error) {
	start := time.Now()
	for {
		results, notApplied := w.poll(check)
		if len(notApplied) == 0 {
			return results, nil
		}
		if time.Since(start) >= w.Wait {
			return results, ErrNotInForce{Instances: notApplied, Waited: time.Since(start).Round(time.Millisecond)}
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return results, ErrNotInForce{Instances: notApplied, Waited: time.Since(start).Round(time.Millisecond)}
		}
	}
}

// poll fetches the status of all instances once and checks it. Instances that don't answer count as not applied. If the
// change concerns none of the instances, notApplied has an entry that says so.
func (w *Watcher) poll(check Check) (results []InForce, notApplied []string) {
	statuses, unansweredAddresses := w.FetchStatus()
	affectedCount := len(unansweredAddresses)
	for _, s := range statuses {
		current, verdict := check(s)
		results = append(results, InForce{
			Instance: s.Instance, DataCentre: s.DataCentre, Current: current,
			InForce: verdict == Applied, NotAffected: verdict == NotAffected,
		})
		if verdict != NotAffected {
			affectedCount++
		}
		if verdict == NotApplied {
			notApplied = append(notApplied, s.Instance)
		}
	}
	for _, address := range unansweredAddresses {
		results = append(results, InForce{Instance: address, Current: "no answer"})
		notApplied = append(notApplied, address)
	}
	if affectedCount == 0 {
		notApplied = append(notApplied, "the instance that the change concerns, which wasn't queried")
	}
	return results, notApplied
}

// ConfigAtLeast checks that the configuration in force has at least the given version.
func ConfigAtLeast(version int) Check {
	return func(s wire.Status) (string, Verdict) {
		return fmt.Sprintf("configuration %d", s.ConfigVersion), verdictOf(s.ConfigVersion >= version)
	}
}

// KeyringAtLeast checks that the workspace's keyring in force has at least the given object version.
func KeyringAtLeast(workspace string, version int) Check {
	return func(s wire.Status) (string, Verdict) {
		for _, k := range s.Keyrings {
			if k.Workspace == workspace {
				return fmt.Sprintf("keys of %s at %d", workspace, k.Version), verdictOf(k.Version >= version)
			}
		}
		return "no keys of " + workspace, NotApplied
	}
}

// QuarantineLifted checks that the quarantine with the id isn't in force.
func QuarantineLifted(id string) Check {
	return func(s wire.Status) (string, Verdict) {
		for _, q := range s.Quarantines {
			if q.Id == id {
				return fmt.Sprintf("quarantine %s %s", id, q.State), verdictOf(q.State == wire.QuarantineStatusStateLifted)
			}
		}
		return "no quarantine " + id, Applied
	}
}

// Evacuated checks whether the evacuation of a data centre is in force, or with want unset, that it isn't.
func Evacuated(dataCentre string, want bool) Check {
	return func(s wire.Status) (string, Verdict) {
		if slices.Contains(s.Evacuated, dataCentre) {
			return dataCentre + " evacuated", verdictOf(want)
		}
		return dataCentre + " in use", verdictOf(!want)
	}
}

// Draining checks that a backend server is draining or stopped, so that it gets no new requests.
func Draining(server string) Check {
	return serverState(server, func(state wire.ServerStatusState) bool {
		return state == wire.ServerStatusStateDraining || state == wire.ServerStatusStateStopped
	})
}

// NotStopping checks that a backend server is neither draining nor stopped.
func NotStopping(server string) Check {
	return serverState(server, func(state wire.ServerStatusState) bool {
		return state != wire.ServerStatusStateDraining && state != wire.ServerStatusStateStopped
	})
}

// serverState checks the state of a backend server. Only the home instance of the server's pool, which runs the pool's
// scheduler, reports that state; the other instances are NotAffected.
func serverState(server string, wanted func(wire.ServerStatusState) bool) Check {
	return func(s wire.Status) (string, Verdict) {
		for _, b := range s.Servers {
			if b.Server == server {
				return server + " " + string(b.State), verdictOf(wanted(b.State))
			}
		}
		return server + " at another home", NotAffected
	}
}
