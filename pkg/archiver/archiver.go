package archiver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const idHexDigits = 24

// Archiver reads and writes files and jobs.
type Archiver struct {
	store     storer.Store
	partLines int
}

// New returns an archiver that splits files into parts of partLines lines, a segment each.
func New(s storer.Store, partLines int) *Archiver {
	return &Archiver{store: s, partLines: partLines}
}

// IsBehind reports whether the link's share is spent for now, so that more batch work is better left to VMs near the store.
func (a *Archiver) IsBehind() bool {
	return storer.WaitOf(a.store) > 0
}

// AbsentError says that the account has no such file or batch.
type AbsentError struct {
	Kind, ID string
}

// Error names what is absent.
func (e *AbsentError) Error() string {
	return fmt.Sprintf("no %s %q in this account", e.Kind, e.ID)
}

// commit writes tx; when the answer is lost it reads row key back and asks isOurs whether the write took effect.
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
	// The row stands as before: the write can still arrive, so the caller must take it as lost, not as failed.
	return 0, err
}

func versionOf(tx storer.Transaction, key string) int64 {
	for _, c := range tx.Checks {
		if c.Key == key {
			return c.Version
		}
	}
	return 0
}

func deriveID(prefix string, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return prefix + hex.EncodeToString(h.Sum(nil))[:idHexDigits]
}
