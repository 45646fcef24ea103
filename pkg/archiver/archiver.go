package archiver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// idHexDigits is the length of the hash in a derived id.
const idHexDigits = 24

// Archiver reads and writes files, jobs, segments and results.
type Archiver struct {
	store     storer.Store
	partLines int
}

// New returns an archiver that splits files into parts of partLines lines; each part is one segment of a job.
func New(s storer.Store, partLines int) *Archiver {
	return &Archiver{store: s, partLines: partLines}
}

// IsLinkSaturated reports whether this VM's share of the link is used up for now; if so, VMs near the store should claim the
// segments.
func (a *Archiver) IsLinkSaturated() bool {
	return storer.TransferWait(a.store) > 0
}

// NotFoundError reports that the account has no file or batch of this id.
type NotFoundError struct {
	Kind, ID string
}

// Error names the kind and the id.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s %q in this account", e.Kind, e.ID)
}

// commit writes tx; when the answer is lost it reads the row at key back, and isOurs decides whether the write took effect.
func (a *Archiver) commit(ctx context.Context, tx storer.Transaction, key string, isOurs func(storer.Row) bool) (int64, error) {
	version, err := a.store.Commit(ctx, tx)
	unavailable := (*storer.UnavailableError)(nil)
	if !errors.As(err, &unavailable) || !unavailable.MayHaveRun {
		return version, err
	}
	row, readErr := a.store.Read(ctx, key)
	if readErr != nil {
		return 0, err
	}
	if row.Version > 0 && isOurs(row) {
		return row.Version, nil
	}
	if row.Version != versionOf(tx, key) {
		return 0, &storer.ConflictError{Current: row}
	}
	// The row is unchanged, but the write can still take effect: its outcome is unknown to the caller, not a failure.
	return 0, err
}

// versionOf returns the version that tx expects of the row at key; 0 means absent.
func versionOf(tx storer.Transaction, key string) int64 {
	for _, c := range tx.Checks {
		if c.Key == key {
			return c.Version
		}
	}
	return 0
}

// deriveID returns prefix and a hash of the parts. Each part is hashed with its length, so that "ab", "c" differs from "a", "bc".
func deriveID(prefix string, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return prefix + hex.EncodeToString(h.Sum(nil))[:idHexDigits]
}
