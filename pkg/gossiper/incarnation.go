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

// Previous is what is known of the earlier process of a VM that starts now.
type Previous struct {
	// NextIncarnation is the incarnation of the process that starts: the time, or more if the VM's row is of an earlier process with
	// a later one, since the clock was set back meanwhile.
	NextIncarnation int64
	// HadManyEndpoints says that the earlier process knew that the deployment has many endpoints.
	HadManyEndpoints bool
}

// ReadPrevious reads the row of the VM's earlier process. With an error, the incarnation is the time.
func ReadPrevious(ctx context.Context, t storer.Table, vm string, now time.Time) (Previous, error) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	p := Previous{NextIncarnation: now.UnixMicro()}
	page, err := t.Scan(ctx, storer.Range{Table: VMTable, From: vm, To: vm + "\x00", Limit: 1})
	if err != nil {
		return p, err
	}
	for _, e := range page.Entries {
		r := vmRow{}
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return p, errors.Wrap(err, "decode the row of VM "+vm)
		}
		p.HadManyEndpoints = r.HasManyEndpoints
		if r.Incarnation < maxIncarnation {
			p.NextIncarnation = max(p.NextIncarnation, r.Incarnation+1)
		}
	}
	return p, nil
}
