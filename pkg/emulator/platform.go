package emulator

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
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

// Platform is the store's stand-in with faults, a list of VMs, and a client of its own within the process.
type Platform struct {
	*storer.Rows

	store *standin.Store

	mu     sync.Mutex
	faults PlatformFaults
	// held are the changes of the list of VMs that wait while it is frozen, in order.
	held []func()
}

var _ storer.Store = (*Platform)(nil)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	p := &Platform{store: standin.NewStore()}
	p.store.SetFault(p.faultOf)
	p.Rows = storer.NewRows(platform.NewStore(inProcess, "emulator", platform.WithTransport(p.store.Transport())))
	return p
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	p.faults = f
	var due []func()
	if !f.IsVMListFrozen {
		due, p.held = p.held, nil
	}
	p.mu.Unlock()
	p.store.SetDelay(f.Slow)
	for _, change := range due {
		change()
	}
}

// SetVM adds or replaces an entry of the VM list.
func (p *Platform) SetVM(vm storer.VMRecord) {
	p.changeVMs(func() { p.store.Put(storer.ListedVMTable, "", vm.ID, vm) })
}

// RemoveVM deletes an entry of the VM list.
func (p *Platform) RemoveVM(id string) {
	p.changeVMs(func() { p.store.Remove(storer.ListedVMTable, "", id) })
}

func (p *Platform) changeVMs(change func()) {
	p.mu.Lock()
	isFrozen := p.faults.IsVMListFrozen
	if isFrozen {
		p.held = append(p.held, change)
	}
	p.mu.Unlock()
	if !isFrozen {
		change()
	}
}

// served returns the calls served so far.
func (p *Platform) served() PlatformCounts {
	c := p.store.CallCounts()
	return PlatformCounts{Reads: c.Reads, Writes: c.Changes, Objects: c.Blobs}
}

// faultOf decides on a call; a lost answer is one of a change or of an object that is put.
func (p *Platform) faultOf(r *http.Request) standin.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	isCommit := r.Method == http.MethodPost
	switch {
	case r.URL.Query().Get("table") == storer.ListedVMTable:
		if p.faults.IsVMListDown {
			return standin.Busy
		}
	case p.faults.IsDown:
		return standin.Busy
	case isCommit && p.faults.LoseCommits > 0:
		p.faults.LoseCommits--
		return standin.LoseAnswer
	case (isCommit || r.Method == http.MethodPut) && p.faults.LoseAnswers > 0:
		p.faults.LoseAnswers--
		return standin.LoseAnswer
	}
	return standin.NoFault
}

// inProcess stands in the calls' addresses, which the transport within the process does not read.
var inProcess = netip.MustParseAddrPort("127.0.0.1:1")

// PlatformHandler serves a Platform over plain HTTP, with its faults behind POST /admin/faults.
func PlatformHandler(p *Platform) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/admin/vms", decoded(p.SetVM)).Methods(http.MethodPost)
	r.HandleFunc("/admin/vms/{id}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(mux.Vars(r)["id"])
	}).Methods(http.MethodDelete)
	r.HandleFunc("/admin/faults", decoded(p.SetFaults)).Methods(http.MethodPost)
	r.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, p.served(), nil)
	}).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(p.store)
	return r
}

// decoded passes the body of a request on as a T.
func decoded[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
	}
}
