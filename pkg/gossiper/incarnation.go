package gossiper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// incarnationTimeout bounds the read of the row of this VM's earlier process: a start must not wait for a store that is silent.
const incarnationTimeout = 500 * time.Millisecond

// maxIncarnation is the largest incarnation that leaves room for the count of refutations.
const maxIncarnation = 1<<(64-refutationBits) - 1

// NextIncarnation returns the incarnation of a process of the VM that starts now: the time, or more if the VM's row is of an
// earlier process with a later one, since the clock was set back meanwhile. With an error, it returns the time.
func NextIncarnation(ctx context.Context, t storer.Table, vm string, now time.Time) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	incarnation := now.UnixMicro()
	page, err := t.Scan(ctx, storer.Range{Table: VMTable, From: vm, To: vm + "\x00", Limit: 1})
	if err != nil {
		return incarnation, err
	}
	for _, e := range page.Entries {
		r := vmRow{}
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return incarnation, errors.Wrap(err, "decode the row of VM "+vm)
		}
		if r.Incarnation < maxIncarnation {
			incarnation = max(incarnation, r.Incarnation+1)
		}
	}
	return incarnation, nil
}
