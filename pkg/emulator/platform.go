package emulator

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// PlatformFaults are the faults that can be switched on.
type PlatformFaults struct {
	IsDown         bool          `json:"isDown"`
	Slow           time.Duration `json:"slow"`
	LoseAnswers    int           `json:"loseAnswers"`
	LoseCommits    int           `json:"loseCommits"`
	IsVMListFrozen bool          `json:"isVMListFrozen"`
	IsVMListDown   bool          `json:"isVMListDown"`
}

// PlatformCounts are the calls served so far.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Objects int64 `json:"objects"`
}

// Platform is an in-memory table service, object store and VM list with faults.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]storer.Row
	keys    []string
	objects map[string][]byte
	vms     map[string]storer.VMRecord
	frozen  []storer.VMRecord
	version int64
	faults  PlatformFaults
	counts  PlatformCounts
}

var _ storer.Store = (*Platform)(nil)

var (
	errDown       = errors.New("platform is down")
	errAnswerLost = errors.New("answer lost")
)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	return &Platform{
		rows:    map[string]storer.Row{},
		objects: map[string][]byte{},
		vms:     map[string]storer.VMRecord{},
	}
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.IsVMListFrozen && !p.faults.IsVMListFrozen {
		p.frozen = p.listVMs()
	}
	p.faults = f
}

// Counts returns the calls served so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVM adds or replaces an entry of the VM list.
func (p *Platform) SetVM(vm storer.VMRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.ID] = vm
}

// RemoveVM deletes an entry of the VM list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
}

// Read returns the row, with Version 0 when it is absent.
func (p *Platform) Read(ctx context.Context, key string) (storer.Row, error) {
	if err := p.enter(ctx, "read"); err != nil {
		return storer.Row{}, err
	}
	defer p.mu.Unlock()
	p.counts.Reads++
	row := p.rows[key]
	row.Key = key
	return row, nil
}

// List returns at most n rows whose keys start with prefix and sort behind after, in key order.
func (p *Platform) List(ctx context.Context, prefix, after string, n int) ([]storer.Row, error) {
	if err := p.enter(ctx, "list"); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.counts.Reads++
	rows := []storer.Row{}
	from := sort.SearchStrings(p.keys, max(prefix, after))
	for _, key := range p.keys[from:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == n {
			break
		}
		if key != after {
			rows = append(rows, p.rows[key])
		}
	}
	return rows, nil
}

// Commit applies tx and returns the new version of its written rows.
func (p *Platform) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if err := p.enter(ctx, "commit"); err != nil {
		return 0, err
	}
	defer p.mu.Unlock()
	p.counts.Writes++
	for _, c := range tx.Checks {
		if row := p.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			return 0, &storer.ConflictError{Current: row}
		}
	}
	p.version++
	for _, put := range tx.Puts {
		p.putRow(put)
	}
	for _, key := range tx.Deletes {
		p.deleteRow(key)
	}
	if p.faults.LoseCommits > 0 {
		p.faults.LoseCommits--
		return 0, &storer.UnavailableError{Operation: "commit", MayHaveRun: true, Cause: errAnswerLost}
	}
	return p.version, p.loseAnswer("commit")
}

// PutObject stores body under name.
func (p *Platform) PutObject(ctx context.Context, name string, body []byte) error {
	if err := p.enter(ctx, "put object"); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.counts.Objects++
	p.objects[name] = bytes.Clone(body)
	return p.loseAnswer("put object")
}

// GetObject opens the object; the caller closes it.
func (p *Platform) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	if err := p.enter(ctx, "get object"); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.counts.Objects++
	body, ok := p.objects[name]
	if !ok {
		return nil, &storer.NotFoundError{Name: name}
	}
	return io.NopCloser(bytes.NewReader(body)), nil
}

// ListVMs returns the platform's list of VMs.
func (p *Platform) ListVMs(ctx context.Context) ([]storer.VMRecord, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	if p.faults.IsVMListDown || ctx.Err() != nil {
		return nil, &storer.UnavailableError{Operation: "list VMs", Cause: errDown}
	}
	if p.faults.IsVMListFrozen {
		return slices.Clone(p.frozen), nil
	}
	return p.listVMs(), nil
}

// enter applies the faults and takes the lock on success.
func (p *Platform) enter(ctx context.Context, what string) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-ctx.Done():
			return &storer.UnavailableError{Operation: what, After: f.Slow, MayHaveRun: true, Cause: ctx.Err()}
		}
	}
	if f.IsDown {
		return &storer.UnavailableError{Operation: what, MayHaveRun: true, Cause: errDown}
	}
	p.mu.Lock()
	return nil
}

func (p *Platform) loseAnswer(what string) error {
	if p.faults.LoseAnswers == 0 {
		return nil
	}
	p.faults.LoseAnswers--
	return &storer.UnavailableError{Operation: what, MayHaveRun: true, Cause: errAnswerLost}
}

func (p *Platform) putRow(put storer.Put) {
	if _, ok := p.rows[put.Key]; !ok {
		i := sort.SearchStrings(p.keys, put.Key)
		p.keys = slices.Insert(p.keys, i, put.Key)
	}
	p.rows[put.Key] = storer.Row{Key: put.Key, Version: p.version, Value: bytes.Clone(put.Value)}
}

func (p *Platform) deleteRow(key string) {
	if _, ok := p.rows[key]; !ok {
		return
	}
	delete(p.rows, key)
	i := sort.SearchStrings(p.keys, key)
	p.keys = slices.Delete(p.keys, i, i+1)
}

func (p *Platform) listVMs() []storer.VMRecord {
	vms := make([]storer.VMRecord, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b storer.VMRecord) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
