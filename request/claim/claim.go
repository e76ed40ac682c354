// Package claim ensures that requests with the same idempotency key run at most once, also if they are sent to
// different instances: before an instance sends such a request, it creates a claim record in the object store, which
// fails if one exists.
//
// While the object store is unavailable, a request with an idempotency key is refused and not run. If it were sent
// without a claim, a repeat of it at another instance could run it twice, and a doubled payment costs more than an
// error that says that nothing has run and when to retry. Requests without a key need no claim, as they are sent only
// once.
//
// If the response to a create is lost, the claim is refused, but the store may still carry out the create later. Its
// record would then block each repeat of a request that has not run. Claims.Run looks for such records and marks them
// not_run, so that a repeat may run.
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
	// DefaultRetention is the time after which a claim expires.
	DefaultRetention = 24 * time.Hour
	// DefaultRetryAfter is the time after which a refused caller should retry.
	DefaultRetryAfter = 2 * time.Second
	// maxCreateAttempts is the number of times that a create is tried if its response is lost.
	maxCreateAttempts = 3
	// resultTimeout limits the write of a result.
	resultTimeout = 5 * time.Second
	// unresolvedCheckInterval is the time between two checks of the unresolved claims; maxUnresolvedChecks is the
	// number of checks after which an unresolved claim is forgotten.
	unresolvedCheckInterval = 10 * time.Second
	maxUnresolvedChecks     = 30
)

// ErrClaimed means that another request has already claimed the idempotency key. The new request must not be sent.
type ErrClaimed struct {
	// RequestID is the id of the request that has the claim.
	RequestID string
	// State is the recorded state of that request.
	State wire.ClaimRecordState
	// Status is the HTTP status of that request's response; 0 if unknown.
	Status int
	// BodyDiffers is true if the new request differs from that request, so that it is not a repeat.
	BodyDiffers bool
}

func (e ErrClaimed) Error() string {
	return fmt.Sprintf("idempotency key is already claimed by request %s, whose state is %s", e.RequestID, e.State)
}

// IsErrClaimed reports whether err, or an error that it wraps, says that another request has claimed the idempotency
// key.
func IsErrClaimed(err error) bool {
	var e ErrClaimed
	return errors.As(err, &e)
}

// ErrClaimNotRecorded means that the claim could not be recorded. The request must not be sent.
type ErrClaimNotRecorded struct {
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	// Cause is the error of the object store.
	Cause error
}

func (e ErrClaimNotRecorded) Error() string { return fmt.Sprintf("claim not recorded: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrClaimNotRecorded) Unwrap() error { return e.Cause }

// IsErrClaimNotRecorded reports whether err, or an error that it wraps, says that the claim could not be recorded.
func IsErrClaimNotRecorded(err error) bool {
	var e ErrClaimNotRecorded
	return errors.As(err, &e)
}

// Claims claims idempotency keys and records the claims in the object store. Set the exported fields before the first
// call.
type Claims struct {
	Objects platform.Store
	Log     *zap.Logger
	// Retention is the time after which a claim expires; 0 selects DefaultRetention.
	Retention time.Duration
	// create replaces the conditional create in tests; nil otherwise.
	create func(ctx context.Context, name string, record wire.ClaimRecord) (wire.Object, error)

	mu sync.Mutex
	// unresolved holds the unresolved claims by object name.
	unresolved map[string]unresolved
}

// unresolved is the claim of a request that was not sent, although the object store holds, or may still get, a record
// with the state "sent". Either the response to the create was lost, or the record couldn't be marked not_run.
type unresolved struct {
	requestID string
	// checkCount is the number of checks so far; see Claims.checkUnresolved.
	checkCount int
}

// Claim is the exclusive right to send one request. When the outcome is known, call exactly one of its methods.
type Claim struct {
	claims *Claims
	// obj is the stored object as created, with its version; record is its content.
	obj    wire.Object
	record wire.ClaimRecord
}

// ObjectName returns the name of the object that holds the claim of a workspace's idempotency key. The key itself is
// not stored, only a hash of it.
func ObjectName(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return workspace + "." + hex.EncodeToString(sum[:16])
}

// Claim claims the idempotency key for the request. On an error, ErrClaimed or ErrClaimNotRecorded, the request must
// not be sent.
func (c *Claims) Claim(ctx context.Context, workspace, key, requestID, bodyHash string) (*Claim, error) {
	retention := c.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	now := time.Now()
	record := wire.ClaimRecord{
		Workspace: workspace, RequestId: requestID, BodyHash: bodyHash, State: wire.ClaimRecordStateSent,
		CreatedMs: int(now.UnixMilli()), ExpiresMs: int(now.Add(retention).UnixMilli()),
	}
	name := ObjectName(workspace, key)
	obj, err := c.createRecord(ctx, name, record)
	if err == nil {
		return &Claim{claims: c, obj: obj, record: record}, nil
	}
	if IsErrClaimed(err) {
		return nil, err
	}
	if platform.IsErrUnknownOutcome(err) {
		c.addUnresolved(name, requestID)
	}
	return nil, ErrClaimNotRecorded{RetryAfter: DefaultRetryAfter, Cause: err}
}

// createRecord creates the record. A create whose response was lost is tried again: if the first one took effect, the
// second one fails with a conflict, and the stored record has the request's own id.
func (c *Claims) createRecord(ctx context.Context, name string, record wire.ClaimRecord) (wire.Object, error) {
	var unknownErr error
	for range maxCreateAttempts {
		obj, err := c.tryCreate(ctx, name, record)
		var conflict platform.ErrConflict
		if errors.As(err, &conflict) {
			obj, err = c.resolveConflict(ctx, name, conflict.Current, record)
		}
		if err == nil || IsErrClaimed(err) {
			return obj, err
		}
		if platform.IsErrUnknownOutcome(err) {
			unknownErr = err
			continue
		}
		return wire.Object{}, errors.Join(unknownErr, err)
	}
	return wire.Object{}, unknownErr
}

func (c *Claims) tryCreate(ctx context.Context, name string, record wire.ClaimRecord) (wire.Object, error) {
	if c.create != nil {
		return c.create(ctx, name, record)
	}
	return c.Objects.Create(ctx, platform.KindClaim, name, record)
}

// resolveConflict handles an existing record of the same key. The claim succeeds if the record is of the same request.
// A record that has expired or whose request has not run is overwritten. Any other record results in an ErrClaimed.
func (c *Claims) resolveConflict(ctx context.Context, name string, current wire.Object, record wire.ClaimRecord) (wire.Object, error) {
	if current.Version == 0 {
		stored, err := c.Objects.Get(ctx, platform.KindClaim, name)
		if err != nil {
			return stored, err
		}
		current = stored
	}
	existing, err := platform.Decode[wire.ClaimRecord](current)
	if err != nil {
		return current, err
	}
	if existing.RequestId == record.RequestId && existing.State == wire.ClaimRecordStateSent {
		return current, nil
	}
	expired := existing.ExpiresMs <= record.CreatedMs
	if existing.State != wire.ClaimRecordStateNotRun && !expired {
		differs := existing.BodyHash != record.BodyHash
		return current, ErrClaimed{RequestID: existing.RequestId, State: existing.State, Status: existing.Status, BodyDiffers: differs}
	}
	return c.Objects.Update(ctx, platform.KindClaim, name, current.Version, record)
}

// RecordDone records that the caller got a response with the HTTP status.
func (c *Claim) RecordDone(status int) { c.recordResult(wire.ClaimRecordStateDone, status) }

// RecordUnknown records that the request was sent and its response was lost.
func (c *Claim) RecordUnknown() { c.recordResult(wire.ClaimRecordStateUnknown, 0) }

// NotRun records that no byte of the request was sent, so that a repeat may run.
func (c *Claim) NotRun() { c.recordResult(wire.ClaimRecordStateNotRun, 0) }

// recordResult writes the outcome. If that fails, the record stays in the state "sent", and repeats get an error that
// says that the outcome is unknown.
func (c *Claim) recordResult(state wire.ClaimRecordState, status int) {
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
		c.claims.addUnresolved(c.obj.Name, record.RequestId)
	}
}

// addUnresolved adds a claim to those that Run checks; see unresolved.
func (c *Claims) addUnresolved(name, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresolved == nil {
		c.unresolved = map[string]unresolved{}
	}
	c.unresolved[name] = unresolved{requestID: requestID}
}

// Run checks the unresolved claims at intervals and marks their records not_run, until ctx is cancelled.
func (c *Claims) Run(ctx context.Context) {
	ticker := time.NewTicker(unresolvedCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		claims := make(map[string]unresolved, len(c.unresolved))
		for name, claim := range c.unresolved {
			claims[name] = claim
		}
		c.mu.Unlock()
		for name, claim := range claims {
			c.checkUnresolved(ctx, name, claim)
		}
	}
}

// checkUnresolved checks one unresolved claim. It forgets the claim if its record can't block a repeat any more, or
// after maxUnresolvedChecks checks.
func (c *Claims) checkUnresolved(ctx context.Context, name string, claim unresolved) {
	resolved := c.markNotRun(ctx, name, claim.requestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresolved[name].requestID != claim.requestID {
		return
	}
	claim.checkCount++
	c.unresolved[name] = claim
	if resolved || claim.checkCount >= maxUnresolvedChecks {
		delete(c.unresolved, name)
	}
}

// markNotRun marks the record of a request that was not sent as not_run. It returns false if the record must be checked
// again, such as if the record doesn't exist yet.
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

// RemoveExpired deletes the expired claims of a workspace and returns their number. Only the instance that holds the
// lease for this job calls RemoveExpired; the function check returns an error if the lease was lost.
func (c *Claims) RemoveExpired(ctx context.Context, workspace string, check func() error) (int, error) {
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
