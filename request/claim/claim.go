// Package claim gives the only right to send a request that may not be repeated, by a conditional create in the object
// API before the send.
//
// While the object API is out, a request with an idempotency key is refused and not run. The other choice, to serve it
// unclaimed, lets a caller's repeat at another instance run it twice: a doubled payment costs more than a refusal that
// says truthfully that nothing has run and when to come back. Calls without a key need no claim, as they are sent once.
//
// A claim whose create may still land after the refusal is marked not_run later, so that a repeat may run.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultKeep is how long a claim stands.
	DefaultKeep = 24 * time.Hour
	// DefaultRetryAfter is when a refused caller should come back.
	DefaultRetryAfter = 2 * time.Second
	// attempts is how often a create with a lost answer is tried.
	attempts = 3
	// resultTimeout bounds the write of a result.
	resultTimeout = 5 * time.Second
	// abandonedWait passes between two looks for abandoned claims, abandonedLooks is their number.
	abandonedWait  = 10 * time.Second
	abandonedLooks = 30
)

// ErrClaimed tells that the right was given before. The request is not run again.
type ErrClaimed struct {
	// RequestID is the request that has the right.
	RequestID string
	State     wire.ClaimRecordState
	// Status is the HTTP status of its answer; 0 is unknown.
	Status int
	// BodyDiffers tells that the key was used with another request.
	BodyDiffers bool
}

func (e ErrClaimed) Error() string {
	return fmt.Sprintf("claimed by request %s, which is %s", e.RequestID, e.State)
}

// IsErrClaimed tells whether err is an ErrClaimed.
func IsErrClaimed(err error) bool {
	var e ErrClaimed
	return errors.As(err, &e)
}

// ErrNoClaim tells that the right couldn't be had, so the request must not be sent.
type ErrNoClaim struct {
	RetryAfter time.Duration
	Cause      error
}

func (e ErrNoClaim) Error() string { return fmt.Sprintf("no claim: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrNoClaim) Unwrap() error { return e.Cause }

// IsErrNoClaim tells whether err is an ErrNoClaim.
func IsErrNoClaim(err error) bool {
	var e ErrNoClaim
	return errors.As(err, &e)
}

// Claims gives claims. The exported fields are set before the first call.
type Claims struct {
	Objects platform.Store
	Log     *zap.Logger
	// Keep is DefaultKeep where it is 0.
	Keep time.Duration
	// create replaces the conditional create; only tests set it.
	create func(ctx context.Context, name string, record wire.ClaimRecord) (wire.Object, error)

	mu sync.Mutex
	// abandoned are the request ids of refused claims whose create may still land, by object name.
	abandoned map[string]abandoned
}

// abandoned is a refused claim that is looked for a number of times.
type abandoned struct {
	requestID string
	looks     int
}

// Claim is the right to send one request. Exactly one of its methods is called when the outcome is known.
type Claim struct {
	claims *Claims
	obj    wire.Object
	record wire.ClaimRecord
}

// Name returns the object name of a workspace's idempotency key. The key itself is stored nowhere.
func Name(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return workspace + "." + hex.EncodeToString(sum[:16])
}

// Claim returns the right to send the request, or ErrClaimed or ErrNoClaim. Nothing may be sent on an error.
func (c *Claims) Claim(ctx context.Context, workspace, key, requestID, bodyHash string) (*Claim, error) {
	keep := c.Keep
	if keep == 0 {
		keep = DefaultKeep
	}
	now := time.Now()
	record := wire.ClaimRecord{
		Workspace: workspace, RequestId: requestID, BodyHash: bodyHash, State: wire.ClaimRecordStateSent,
		CreatedMs: int(now.UnixMilli()), ExpiresMs: int(now.Add(keep).UnixMilli()),
	}
	name := Name(workspace, key)
	obj, err := c.take(ctx, name, record)
	if err == nil {
		return &Claim{claims: c, obj: obj, record: record}, nil
	}
	if IsErrClaimed(err) {
		return nil, err
	}
	if platform.IsErrUnknownOutcome(err) {
		c.abandon(name, requestID)
	}
	return nil, ErrNoClaim{RetryAfter: DefaultRetryAfter, Cause: err}
}

// take creates the record. A create with a lost answer is tried again: the store tells by the conflict whose it is.
func (c *Claims) take(ctx context.Context, name string, record wire.ClaimRecord) (wire.Object, error) {
	var unknown error
	for range attempts {
		obj, err := c.write(ctx, name, record)
		var conflict platform.ErrConflict
		if errors.As(err, &conflict) {
			obj, err = c.contend(ctx, name, conflict.Current, record)
		}
		if err == nil || IsErrClaimed(err) {
			return obj, err
		}
		if platform.IsErrUnknownOutcome(err) {
			unknown = err
			continue
		}
		return wire.Object{}, errors.Join(unknown, err)
	}
	return wire.Object{}, unknown
}

func (c *Claims) write(ctx context.Context, name string, record wire.ClaimRecord) (wire.Object, error) {
	if c.create != nil {
		return c.create(ctx, name, record)
	}
	return c.Objects.Create(ctx, platform.KindClaim, name, record)
}

// contend decides what an existing claim means for the record.
func (c *Claims) contend(ctx context.Context, name string, current wire.Object, record wire.ClaimRecord) (wire.Object, error) {
	if current.Version == 0 {
		read, err := c.Objects.Get(ctx, platform.KindClaim, name)
		if err != nil {
			return read, err
		}
		current = read
	}
	held, err := platform.Decode[wire.ClaimRecord](current)
	if err != nil {
		return current, err
	}
	if held.RequestId == record.RequestId && held.State == wire.ClaimRecordStateSent {
		return current, nil
	}
	expired := held.ExpiresMs <= record.CreatedMs
	if held.State != wire.ClaimRecordStateNotRun && !expired {
		differs := held.BodyHash != record.BodyHash
		return current, ErrClaimed{RequestID: held.RequestId, State: held.State, Status: held.Status, BodyDiffers: differs}
	}
	return c.Objects.Update(ctx, platform.KindClaim, name, current.Version, record)
}

// Done records that the request was answered with the status.
func (c *Claim) Done(status int) { c.result(wire.ClaimRecordStateDone, status) }

// Unknown records that the request was sent and its answer lost.
func (c *Claim) Unknown() { c.result(wire.ClaimRecordStateUnknown, 0) }

// NotRun records that no byte of the request has left, so that a repeat may run.
func (c *Claim) NotRun() { c.result(wire.ClaimRecordStateNotRun, 0) }

// result writes the outcome. Where that fails the claim stays sent, which tells repeats that the outcome is unknown.
func (c *Claim) result(state wire.ClaimRecordState, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), resultTimeout)
	defer cancel()
	record := c.record
	record.State = state
	record.Status = status
	_, err := c.claims.Objects.Update(ctx, platform.KindClaim, c.obj.Name, c.obj.Version, record)
	if err != nil && c.claims.Log != nil {
		c.claims.Log.Warn("claim_result_not_recorded", zap.String("request", record.RequestId), zap.Error(err))
	}
	if err != nil && state == wire.ClaimRecordStateNotRun {
		c.claims.abandon(c.obj.Name, record.RequestId)
	}
}

func (c *Claims) abandon(name, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned == nil {
		c.abandoned = map[string]abandoned{}
	}
	c.abandoned[name] = abandoned{requestID: requestID}
}

// Run marks abandoned claims that landed after their refusal as not run, until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	t := time.NewTicker(abandonedWait)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		list := make(map[string]abandoned, len(c.abandoned))
		for name, a := range c.abandoned {
			list[name] = a
		}
		c.mu.Unlock()
		for name, a := range list {
			c.settle(ctx, name, a)
		}
	}
}

func (c *Claims) settle(ctx context.Context, name string, a abandoned) {
	done := c.markNotRun(ctx, name, a.requestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned[name].requestID != a.requestID {
		return
	}
	a.looks++
	c.abandoned[name] = a
	if done || a.looks >= abandonedLooks {
		delete(c.abandoned, name)
	}
}

// markNotRun tells whether the record is known not to stand for the request any more.
func (c *Claims) markNotRun(ctx context.Context, name, requestID string) bool {
	obj, err := c.Objects.Get(ctx, platform.KindClaim, name)
	if err != nil {
		return false
	}
	record, err := platform.Decode[wire.ClaimRecord](obj)
	if err != nil {
		return true
	}
	if record.RequestId != requestID || record.State != wire.ClaimRecordStateSent {
		return true
	}
	record.State = wire.ClaimRecordStateNotRun
	_, err = c.Objects.Update(ctx, platform.KindClaim, name, obj.Version, record)
	return err == nil
}

// Sweep removes the expired claims of a workspace and returns how many. It is called by the holder of the lease.
func (c *Claims) Sweep(ctx context.Context, workspace string, check func() error) (int, error) {
	list, err := c.Objects.List(ctx, platform.KindClaim, workspace+".")
	if err != nil {
		return 0, err
	}
	removed := 0
	now := int(time.Now().UnixMilli())
	for _, obj := range list.Items {
		record, err := platform.Decode[wire.ClaimRecord](obj)
		if err != nil || record.Workspace != workspace || record.ExpiresMs > now {
			continue
		}
		if err := check(); err != nil {
			return removed, err
		}
		err = c.Objects.Delete(ctx, platform.KindClaim, obj.Name, obj.Version)
		if err != nil && !platform.IsErrConflict(err) && !platform.IsErrNotFound(err) {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
