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

// maxEarlierDocuments is the number of documents of earlier versions that stay stored, since an instance may have read
// an earlier head and be about to read the document that it names.
const maxEarlierDocuments = 10

// ErrConflict reports that another operator's configuration was accepted first.
type ErrConflict struct {
	// Version is the version of the accepted configuration and Operator is who applied it.
	Version  int
	Operator string
	// Changes are the differences from the accepted configuration to the refused one.
	Changes []config.Change
	// MayHaveApplied is true if the refused configuration may have been in force until the accepted one replaced it.
	MayHaveApplied bool
}

func (e ErrConflict) Error() string {
	if e.MayHaveApplied {
		return fmt.Sprintf("conflict: version %d of %s is in force; yours may have been for a while", e.Version, operatorOrUnknown(e.Operator))
	}
	return fmt.Sprintf("conflict: version %d of %s was accepted meanwhile; nothing was applied", e.Version, operatorOrUnknown(e.Operator))
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	var conflict ErrConflict
	return errors.As(err, &conflict)
}

func operatorOrUnknown(operator string) string {
	if operator == "" {
		return "an unknown operator"
	}
	return operator
}

// ApplyResult is the result of Apply: the configuration that is now accepted.
type ApplyResult struct {
	// Version is the version of the accepted configuration; 0 if there is none.
	Version int `json:"version"`
	// Document is the name of the object that holds the configuration.
	Document string `json:"document"`
	// Changes are the differences from the previously accepted configuration; empty if Apply changed nothing.
	Changes []config.Change `json:"changes"`
}

// Head returns the newest accepted configuration and the head record that names it. Both are nil if no configuration
// was accepted yet.
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

// Apply makes cfg the newest accepted configuration, one version above the one it replaces. If base is above 0, it is
// the version that must be replaced. If another configuration is accepted first, the error is an ErrConflict. If cfg
// equals the accepted configuration, no version is written.
func (w *Writer) Apply(ctx context.Context, cfg *wire.Config, base int) (ApplyResult, error) {
	head, accepted, err := w.Head(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	if head == nil {
		head = &wire.ConfigHead{}
	}
	changes, err := config.Diff(accepted, cfg)
	if err != nil {
		return ApplyResult{}, err
	}
	if base > 0 && head.Version != base {
		return ApplyResult{}, ErrConflict{Version: head.Version, Operator: head.AppliedBy, Changes: changes}
	}
	if len(changes) == 0 && head.Version > 0 {
		return ApplyResult{Version: head.Version, Document: head.Document}, nil
	}
	next, err := w.writeDocument(ctx, cfg, head.Version+1)
	if err != nil {
		return ApplyResult{}, err
	}
	var dropped []string
	next.Earlier, dropped = earlierDocuments(*head)
	if err := w.replaceHead(ctx, *head, next, cfg); err != nil {
		return ApplyResult{}, err
	}
	for _, document := range dropped {
		w.removeDocument(ctx, document)
	}
	w.log("apply", zap.Int("version", next.Version), zap.String("document", next.Document), zap.Int("changes", len(changes)))
	return ApplyResult{Version: next.Version, Document: next.Document, Changes: changes}, nil
}

// earlierDocuments returns the documents that stay stored after head is replaced, and those to delete. None of them can
// become the head again, since versions only grow.
func earlierDocuments(head wire.ConfigHead) (kept, dropped []string) {
	if head.Version == 0 {
		return nil, nil
	}
	all := append(slices.Clone(head.Earlier), head.Document)
	n := max(0, len(all)-maxEarlierDocuments)
	return all[n:], all[:n]
}

// writeDocument creates the object that holds cfg at the given version and returns the head record that names it.
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
		return nil, checkSameConfig(current, document)
	})
	return wire.ConfigHead{Version: version, Document: name, AppliedBy: w.Operator, AppliedAtMs: nowMs()}, err
}

// checkSameConfig returns an error if the stored document, which has the name of the new one, has another content.
func checkSameConfig(stored wire.Object, document *wire.Config) error {
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

// replaceHead replaces the head by next. If the stored head is no longer the one given as before, the error is an
// ErrConflict.
func (w *Writer) replaceHead(ctx context.Context, before, next wire.ConfigHead, cfg *wire.Config) error {
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
			return nil, errHeadChanged{mayHaveApplied: sent && head.Version > next.Version}
		}
		sent = true
		return next, nil
	})
	var headChanged errHeadChanged
	if errors.As(err, &headChanged) {
		return w.resolveConflict(ctx, next, cfg, headChanged.mayHaveApplied)
	}
	if err != nil && sent {
		return fmt.Errorf("version %d may or may not have been accepted: %w", next.Version, err)
	}
	return err
}

// errHeadChanged reports that another operator replaced the head before this operator's write.
type errHeadChanged struct {
	// mayHaveApplied is true if this operator's own write may have taken effect before that.
	mayHaveApplied bool
}

func (errHeadChanged) Error() string { return "head changed" }

// resolveConflict returns an ErrConflict with the differences from the accepted configuration to cfg. It deletes the
// rejected document if that can't have been in force; the document can't become the head later, since versions only
// grow.
func (w *Writer) resolveConflict(ctx context.Context, rejected wire.ConfigHead, cfg *wire.Config, mayHaveApplied bool) error {
	head, accepted, err := w.Head(ctx)
	if err != nil {
		return err
	}
	if head == nil {
		return errors.New("the head of the configuration was deleted")
	}
	changes, err := config.Diff(accepted, cfg)
	if err != nil {
		return err
	}
	if !mayHaveApplied && head.Version >= rejected.Version && head.Document != rejected.Document {
		w.removeDocument(ctx, rejected.Document)
	}
	return ErrConflict{Version: head.Version, Operator: head.AppliedBy, Changes: changes, MayHaveApplied: mayHaveApplied}
}

// removeDocument tries to delete a document. A failure is only logged, since the document is never read again.
func (w *Writer) removeDocument(ctx context.Context, document string) {
	obj, err := w.read(ctx, platform.KindConfigVersion, document)
	if err != nil || obj.Version == 0 {
		return
	}
	if err := w.Objects.Delete(ctx, platform.KindConfigVersion, document, obj.Version); err != nil {
		w.Log.Warn("document_left", zap.String("document", document), zap.Error(err))
	}
}

func nowMs() int { return int(time.Now().UnixMilli()) }
