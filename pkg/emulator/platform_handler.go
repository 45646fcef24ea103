package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// PlatformHandler serves a Platform over plain HTTP, with its faults behind POST /admin/faults.
func PlatformHandler(p *Platform) http.Handler {
	h := &platformHandler{platform: p}
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/table/row", h.read).Methods(http.MethodGet)
	r.HandleFunc("/table/rows", h.list).Methods(http.MethodGet)
	r.HandleFunc("/table/commit", h.commit).Methods(http.MethodPost)
	r.HandleFunc("/objects/{name}", h.putObject).Methods(http.MethodPut)
	r.HandleFunc("/objects/{name}", h.getObject).Methods(http.MethodGet)
	r.HandleFunc("/vms", h.listVMs).Methods(http.MethodGet)
	r.HandleFunc("/admin/vms", h.setVM).Methods(http.MethodPost)
	r.HandleFunc("/admin/vms/{id}", h.removeVM).Methods(http.MethodDelete)
	r.HandleFunc("/admin/faults", h.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/admin/counts", h.getCounts).Methods(http.MethodGet)
	return r
}

type platformHandler struct {
	platform *Platform
}

type commitReply struct {
	Version int64       `json:"version"`
	Current *storer.Row `json:"current,omitempty"`
}

func (h *platformHandler) read(w http.ResponseWriter, r *http.Request) {
	row, err := h.platform.Read(r.Context(), r.URL.Query().Get("key"))
	reply(w, row, err)
}

func (h *platformHandler) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit: not a number", http.StatusBadRequest)
		return
	}
	rows, err := h.platform.List(r.Context(), q.Get("prefix"), q.Get("after"), n)
	reply(w, rows, err)
}

func (h *platformHandler) commit(w http.ResponseWriter, r *http.Request) {
	tx := storer.Transaction{}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := h.platform.Commit(r.Context(), tx)
	conflict := (*storer.ConflictError)(nil)
	if errors.As(err, &conflict) {
		reply(w, commitReply{Current: &conflict.Current}, nil)
		return
	}
	reply(w, commitReply{Version: version}, err)
}

func (h *platformHandler) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = h.platform.PutObject(r.Context(), mux.Vars(r)["name"], body)
	}
	reply(w, struct{}{}, err)
}

func (h *platformHandler) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := h.platform.GetObject(r.Context(), mux.Vars(r)["name"])
	notFound := (*storer.NotFoundError)(nil)
	switch {
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		reply(w, nil, err)
	default:
		_, _ = io.Copy(w, body)
	}
}

func (h *platformHandler) listVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := h.platform.ListVMs(r.Context())
	reply(w, vms, err)
}

func (h *platformHandler) setVM(w http.ResponseWriter, r *http.Request) {
	vm := storer.VMRecord{}
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.platform.SetVM(vm)
}

func (h *platformHandler) removeVM(_ http.ResponseWriter, r *http.Request) {
	h.platform.RemoveVM(mux.Vars(r)["id"])
}

func (h *platformHandler) setFaults(w http.ResponseWriter, r *http.Request) {
	f := PlatformFaults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.platform.SetFaults(f)
}

func (h *platformHandler) getCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.platform.Counts(), nil)
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
