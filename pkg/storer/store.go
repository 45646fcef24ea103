package storer

import (
	"context"
	"io"
	"net/netip"
)

// Row is one row of the table service; Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Check requires the row at Key to have Version when a transaction commits; Version 0 requires it to be absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes Value under Key.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that take effect together, or not at all when a check fails.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// RoleEndpoint is the role of an endpoint's VM, whose id is the endpoint's name; entry VMs have no role.
const RoleEndpoint = "endpoint"

// VMRecord is one entry of the platform's VM list; the list lags behind the actual state of the VMs.
type VMRecord struct {
	Role             string         `json:"role,omitempty"`
	ID               string         `json:"id"`
	Address          netip.AddrPort `json:"address"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availabilityZone"`
	IsLeaving        bool           `json:"isLeaving,omitempty"`
}

// Store is the interface to the platform's rows, objects and list of VMs.
//
// Errors: *ConflictError when a check fails, *NotFoundError for an absent object, *UnavailableError when the
// platform gave no answer; a write that ends in *UnavailableError with MayHaveRun set may have taken effect.
type Store interface {
	// Read returns the row, with Version 0 when it is absent.
	Read(ctx context.Context, key string) (Row, error)
	// List returns at most n rows whose keys start with prefix and are greater than after, in key order.
	List(ctx context.Context, prefix, after string, n int) ([]Row, error)
	// Commit applies tx and returns the new version of its written rows.
	Commit(ctx context.Context, tx Transaction) (int64, error)
	// PutObject stores body under name.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject opens the object; the caller closes it.
	GetObject(ctx context.Context, name string) (io.ReadCloser, error)
	// ListVMs returns the platform's list of VMs.
	ListVMs(ctx context.Context) ([]VMRecord, error)
}
