package server

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/enginecontroller"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
)

const (
	maxDeclarationBytes = 16 << 20
	statusTimeout       = 2 * time.Second
	statusConcurrency   = 32
)

// OperatorProblem is the error response to an operator. After a revision conflict, Current is the stored head and Changes
// lists the changes from it to the declarations sent, if they are known.
type OperatorProblem struct {
	Problem
	Errors  []*loader.FieldError `json:"errors,omitempty"`
	Current *configurator.Head   `json:"current,omitempty"`
	Changes []DescribedChange    `json:"changes,omitempty"`
}

func (s *Server) operatorRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	api := r.PathPrefix("/operators/v1").Subrouter()
	api.Use(s.authenticateOperator, s.refuseChangesWhileLeaving)
	api.HandleFunc("/diff", s.diff).Methods(http.MethodPost)
	api.HandleFunc("/apply", s.apply).Methods(http.MethodPost)
	api.HandleFunc("/preset", s.usePreset).Methods(http.MethodPost)
	api.HandleFunc("/status", s.status).Methods(http.MethodGet)
	api.HandleFunc("/snapshot", s.snapshot).Methods(http.MethodGet)
	api.HandleFunc("/batches", s.activeBatches).Methods(http.MethodGet)
	api.HandleFunc("/endpoints/{name}/order", s.sendOrder).Methods(http.MethodPost)
	api.HandleFunc("/endpoints/{name}/leave", s.setEndpointLeaving(true)).Methods(http.MethodPost)
	api.HandleFunc("/endpoints/{name}/return", s.setEndpointLeaving(false)).Methods(http.MethodPost)
	return r
}

func (s *Server) authenticateOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash := follower.HashKey(bearer(r))
		for _, known := range s.cfg.OperatorKeyHashes {
			if constantTimeEqual(known, hash) {
				next.ServeHTTP(w, r)
				return
			}
		}
		newProblem(http.StatusUnauthorized, "unauthorized", "Unknown key",
			"Authorization: send `Bearer` and an operator's key").write(w, r)
	})
}

// refuseChangesWhileLeaving refuses calls other than reads on a VM that leaves: an order may take longer than the VM has left.
func (s *Server) refuseChangesWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isLeaving.Load() && r.Method != http.MethodGet {
			s.refuseOperator(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) refuseOperator(w http.ResponseWriter, _ *http.Request) {
	writeOperatorProblem(w, &problemError{problem: leavingProblem()})
}

func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	body, lease, err := s.readBody(w, r, maxDeclarationBytes)
	if err != nil {
		return err
	}
	defer lease.Close()
	if err := json.Unmarshal(body, into); err != nil {
		return &problemError{problem: badField("body", "", "send one JSON object: "+err.Error())}
	}
	return nil
}

func writeOperatorProblem(w http.ResponseWriter, err error) {
	op := OperatorProblem{}
	var fields *loader.FieldErrors
	var conflict *RevisionConflictError
	var busy *enginecontroller.BusyError
	switch {
	case errors.As(err, &fields):
		op.Problem = *newProblem(http.StatusUnprocessableEntity, "declarations", "Declarations not accepted", fields.Error())
		op.Errors = fields.Errors
	case errors.As(err, &busy):
		op.Problem = *newProblem(http.StatusConflict, "orderBusy", "Another order runs", busy.Error()).withRetry(busy.RetryAfter)
	case errors.As(err, &conflict):
		op.Problem = *newProblem(http.StatusConflict, "raceLost", "Another change came first", conflict.Error())
		op.Current, op.Changes = &conflict.Current, describeChanges(conflict.Changes)
	default:
		op.Problem = *problemOf(err)
	}
	op.finish("")
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(op.Status)
	_ = json.NewEncoder(w).Encode(op)
}

func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	c := s.follower.Current()
	writeJSON(w, http.StatusOK, struct {
		Head     configurator.Head `json:"head"`
		Snapshot declarer.Snapshot `json:"snapshot"`
	}{c.Head, c.Snapshot})
}

func (s *Server) activeBatches(w http.ResponseWriter, r *http.Request) {
	jobs, err := s.Archiver.ActiveJobs(r.Context())
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Batches []archiver.ActiveRow `json:"batches"`
	}{jobs})
}

// setEndpointLeaving returns the handler by which an operator stops new work on an endpoint, or allows it again.
func (s *Server) setEndpointLeaving(isLeaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := mux.Vars(r)["name"]
		if _, ok := s.follower.Current().Snapshot.Endpoint(name); !ok {
			writeOperatorProblem(w, &problemError{problem: badField("endpoint", name, "name a declared endpoint")})
			return
		}
		s.OnEndpointUpdate(name, isLeaving)
		writeJSON(w, http.StatusAccepted, struct {
			Endpoint  string `json:"endpoint"`
			IsLeaving bool   `json:"isLeaving"`
		}{name, isLeaving})
	}
}
