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

// PlatformFaults are the faults that can be injected.
//
// IsDown fails all calls but those on the VM list, which IsVMListDown fails; IsVMListFrozen defers changes of the list.
// Slow delays every call. LoseAnswers and LoseCommits count the next calls that are carried out but not answered: changes
// and puts of objects, or changes only.
type PlatformFaults struct {
	IsDown         bool          `json:"isDown"`
	Slow           time.Duration `json:"slow"`
	LoseAnswers    int           `json:"loseAnswers"`
	LoseCommits    int           `json:"loseCommits"`
	IsVMListFrozen bool          `json:"isVMListFrozen"`
	IsVMListDown   bool          `json:"isVMListDown"`
}

// PlatformCounts counts the calls served so far.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Objects int64 `json:"objects"`
}

// Platform is the stand-in of the store with fault injection and a list of VMs. The embedded TableStore is a client that calls
// it within the process.
type Platform struct {
	*storer.TableStore

	store *standin.Store

	mu     sync.Mutex
	faults PlatformFaults
	// heldChanges are the changes of the VM list deferred while it is frozen, in order.
	heldChanges []func()
}

var _ storer.Store = (*Platform)(nil)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	p := &Platform{store: standin.NewStore()}
	p.store.SetFault(p.faultOf)
	p.TableStore = storer.NewTableStore(platform.NewStore(inProcess, "emulator", platform.WithTransport(p.store.Transport())))
	return p
}

// SetFaults replaces the active faults. Changes of the VM list deferred before are carried out unless it stays frozen.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	p.faults = f
	var deferred []func()
	if !f.IsVMListFrozen {
		deferred, p.heldChanges = p.heldChanges, nil
	}
	p.mu.Unlock()
	p.store.SetDelay(f.Slow)
	for _, change := range deferred {
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

// changeVMs carries out a change of the VM list, or defers it while the list is frozen.
func (p *Platform) changeVMs(change func()) {
	p.mu.Lock()
	isFrozen := p.faults.IsVMListFrozen
	if isFrozen {
		p.heldChanges = append(p.heldChanges, change)
	}
	p.mu.Unlock()
	if !isFrozen {
		change()
	}
}

// callCounts returns the number of calls served so far.
func (p *Platform) callCounts() PlatformCounts {
	c := p.store.CallCounts()
	return PlatformCounts{Reads: c.Reads, Writes: c.Changes, Objects: c.Blobs}
}

// faultOf returns the fault that applies to a call. Only the answers of changes and of puts of objects are lost.
func (p *Platform) faultOf(r *http.Request) standin.StoreFault {
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

// inProcess is the address of calls within the process; their transport ignores it.
var inProcess = netip.MustParseAddrPort("127.0.0.1:1")

// PlatformHandler serves a Platform over plain HTTP; POST /admin/faults sets its faults.
func PlatformHandler(p *Platform) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/admin/vms", decodeBody(p.SetVM)).Methods(http.MethodPost)
	r.HandleFunc("/admin/vms/{id}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(mux.Vars(r)["id"])
	}).Methods(http.MethodDelete)
	r.HandleFunc("/admin/faults", decodeBody(p.SetFaults)).Methods(http.MethodPost)
	r.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, p.callCounts(), nil)
	}).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(p.store)
	return r
}

// decodeBody returns a handler that decodes the request's JSON body and passes it to set.
func decodeBody[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
	}
}
