package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/versions"
	"github.com/toucanroute/toucanroute/version/config"
	"github.com/toucanroute/toucanroute/wire"
)

// keptDocuments is the number of documents before the head's that stay stored, for instances that are about to read one.
const keptDocuments = 10

// ErrConflict tells that another operator's configuration was accepted first.
type ErrConflict struct {
	// Version and Operator are those of the accepted configuration.
	Version  int
	Operator string
	// Changes lead from the accepted configuration to the one that was refused.
	Changes []config.Change
	// MayHaveHeld tells that the refused configuration may have been in force until the accepted one replaced it.
	MayHaveHeld bool
}

func (e ErrConflict) Error() string {
	if e.MayHaveHeld {
		return fmt.Sprintf("conflict: version %d of %s is in force; yours may have been for a while", e.Version, orUnknown(e.Operator))
	}
	return fmt.Sprintf("conflict: version %d of %s was accepted meanwhile; nothing was applied", e.Version, orUnknown(e.Operator))
}

// IsErrConflict tells whether err is an ErrConflict.
func IsErrConflict(err error) bool {
	var conflict ErrConflict
	return errors.As(err, &conflict)
}

func orUnknown(operator string) string {
	if operator == "" {
		return "an unknown operator"
	}
	return operator
}

// Accepted is the configuration that holds after Apply.
type Accepted struct {
	// Version is that of the accepted configuration; 0 is none.
	Version int `json:"version"`
	// Document is the name of its object.
	Document string `json:"document"`
	// Changes were made by this Apply; empty is none.
	Changes []config.Change `json:"changes"`
}

// Head returns the newest accepted configuration; both are nil where there is none.
func (w *Writer) Head(ctx context.Context) (*wire.ConfigHead, *wire.Config, error) {
	obj, err := retry(ctx, func() (wire.Object, error) { return w.read(ctx, platform.KindConfig, versions.HeadName) })
	if err != nil || obj.Version == 0 {
		return nil, nil, err
	}
	head, err := platform.Decode[wire.ConfigHead](obj)
	if err != nil {
		return nil, nil, err
	}
	document, err := retry(ctx, func() (wire.Object, error) {
		return w.Objects.Get(ctx, platform.KindConfigVersion, head.Document)
	})
	if err != nil {
		return nil, nil, err
	}
	cfg, err := platform.Decode[wire.Config](document)
	return &head, &cfg, err
}

// Apply makes cfg the newest accepted configuration, one version above the one it replaces. A base above 0 is the
// version that it must replace. Where another configuration is accepted first, the error is ErrConflict.
// Where nothing changes, no version is written.
func (w *Writer) Apply(ctx context.Context, cfg *wire.Config, base int) (Accepted, error) {
	head, before, err := w.Head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if head == nil {
		head = &wire.ConfigHead{}
	}
	changes, err := config.Diff(before, cfg)
	if err != nil {
		return Accepted{}, err
	}
	if base > 0 && head.Version != base {
		return Accepted{}, ErrConflict{Version: head.Version, Operator: head.AppliedBy, Changes: changes}
	}
	if len(changes) == 0 && head.Version > 0 {
		return Accepted{Version: head.Version, Document: head.Document}, nil
	}
	next, err := w.writeDocument(ctx, cfg, head.Version+1)
	if err != nil {
		return Accepted{}, err
	}
	var dropped []string
	next.Earlier, dropped = earlierDocuments(*head)
	if err := w.moveHead(ctx, *head, next, cfg); err != nil {
		return Accepted{}, err
	}
	for _, document := range dropped {
		w.remove(ctx, document)
	}
	w.log("apply", zap.Int("version", next.Version), zap.String("document", next.Document), zap.Int("changes", len(changes)))
	return Accepted{Version: next.Version, Document: next.Document, Changes: changes}, nil
}

// earlierDocuments returns the documents that stay stored once head is replaced, and those that don't. None of them
// can become the head again, since versions only grow.
func earlierDocuments(head wire.ConfigHead) (kept, dropped []string) {
	if head.Version == 0 {
		return nil, nil
	}
	all := append(slices.Clone(head.Earlier), head.Document)
	n := max(0, len(all)-keptDocuments)
	return all[n:], all[:n]
}

// writeDocument creates the object of cfg at a version and returns the head that names it.
func (w *Writer) writeDocument(ctx context.Context, cfg *wire.Config, version int) (wire.ConfigHead, error) {
	document, err := config.Clone(cfg)
	if err != nil {
		return wire.ConfigHead{}, err
	}
	document.Version = version
	name, err := config.DocumentName(document)
	if err != nil {
		return wire.ConfigHead{}, err
	}
	_, err = w.change(ctx, platform.KindConfigVersion, name, func(current wire.Object) (any, error) {
		if current.Version == 0 {
			return document, nil
		}
		return nil, checkSame(current, document)
	})
	return wire.ConfigHead{Version: version, Document: name, AppliedBy: w.Operator, AppliedAtMs: nowMs()}, err
}

// checkSame refuses a stored document that has the name of another content.
func checkSame(stored wire.Object, document *wire.Config) error {
	cfg, err := platform.Decode[wire.Config](stored)
	if err != nil {
		return err
	}
	changes, err := config.Diff(&cfg, document)
	if err != nil {
		return err
	}
	if len(changes) > 0 || cfg.Version != document.Version {
		return fmt.Errorf("%s/%s holds another configuration", stored.Kind, stored.Name)
	}
	return nil
}

// moveHead puts next in place of before.
func (w *Writer) moveHead(ctx context.Context, before, next wire.ConfigHead, cfg *wire.Config) error {
	sent := false
	_, err := w.change(ctx, platform.KindConfig, versions.HeadName, func(current wire.Object) (any, error) {
		head := wire.ConfigHead{}
		if current.Version > 0 {
			var err error
			if head, err = platform.Decode[wire.ConfigHead](current); err != nil {
				return nil, err
			}
		}
		if head.Document == next.Document {
			return nil, nil
		}
		if head.Version != before.Version || head.Document != before.Document {
			return nil, errHeadMoved{mayHaveHeld: sent && head.Version > next.Version}
		}
		sent = true
		return next, nil
	})
	var moved errHeadMoved
	if errors.As(err, &moved) {
		return w.conflict(ctx, next, cfg, moved.mayHaveHeld)
	}
	if err != nil && sent {
		return fmt.Errorf("version %d may or may not have been accepted: %w", next.Version, err)
	}
	return err
}

// errHeadMoved stops a change of the head that another operator has moved.
type errHeadMoved struct {
	// mayHaveHeld tells that the operator's own move may have taken effect before.
	mayHaveHeld bool
}

func (errHeadMoved) Error() string { return "head moved" }

// conflict removes the document that lost and returns the difference to the one that won. The document can't
// become the head any more, since versions only grow.
func (w *Writer) conflict(ctx context.Context, lost wire.ConfigHead, cfg *wire.Config, mayHaveHeld bool) error {
	head, won, err := w.Head(ctx)
	if err != nil {
		return err
	}
	if head == nil {
		return errors.New("the head of the configuration is gone")
	}
	changes, err := config.Diff(won, cfg)
	if err != nil {
		return err
	}
	if !mayHaveHeld && head.Version >= lost.Version && head.Document != lost.Document {
		w.remove(ctx, lost.Document)
	}
	return ErrConflict{Version: head.Version, Operator: head.AppliedBy, Changes: changes, MayHaveHeld: mayHaveHeld}
}

// remove deletes a document if it can; one that stays is never read.
func (w *Writer) remove(ctx context.Context, document string) {
	obj, err := w.read(ctx, platform.KindConfigVersion, document)
	if err != nil || obj.Version == 0 {
		return
	}
	if err := w.Objects.Delete(ctx, platform.KindConfigVersion, document, obj.Version); err != nil {
		w.Log.Warn("document_left", zap.String("document", document), zap.Error(err))
	}
}

func nowMs() int { return int(time.Now().UnixMilli()) }
