package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
	"github.com/dogwoodledge/dogwoodledge/pkg/orderer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	maxDeclarationBytes = 16 << 20
	statusTimeout       = 2 * time.Second
	statusAtOnce        = 32
)

// ApplyRequest asks to put declarations, or a preset, in force.
type ApplyRequest struct {
	Files            []loader.File `json:"files,omitempty"`
	Preset           string        `json:"preset,omitempty"`
	ExpectedRevision int64         `json:"expectedRevision"`
}

// DiffReply says how declarations differ from those in force.
type DiffReply struct {
	Revision int64             `json:"revision"`
	Preset   string            `json:"preset"`
	Changes  []DescribedChange `json:"changes"`
}

// DescribedChange is a declarer.Change with both sides as plain text.
type DescribedChange struct {
	Change declarer.ChangeKind `json:"change"`
	Kind   string              `json:"kind"`
	Name   string              `json:"name"`
	Old    json.RawMessage     `json:"old,omitempty"`
	New    json.RawMessage     `json:"new,omitempty"`
}

// OperatorProblem is a refusal to an operator; a lost race tells the head that won and what differs from it.
type OperatorProblem struct {
	Problem
	Errors  []*loader.FieldError `json:"errors,omitempty"`
	Current *configurator.Head   `json:"current,omitempty"`
	Changes []DescribedChange    `json:"changes,omitempty"`
}

// VMStatus is one VM as an operator sees it; Revision is 0 when the VM gave no answer.
type VMStatus struct {
	VM               string `json:"vm"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	State            string `json:"state"`
	HasAnswered      bool   `json:"hasAnswered"`
	Revision         int64  `json:"revision"`
	Preset           string `json:"preset"`
}

// StatusReply is the fleet as one VM sees it.
type StatusReply struct {
	Head configurator.Head `json:"head"`
	VMs  []VMStatus        `json:"vms"`
}

func (s *Server) operatorRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	api := r.PathPrefix("/operators/v1").Subrouter()
	api.Use(s.authenticateOperator)
	api.HandleFunc("/diff", s.diff).Methods(http.MethodPost)
	api.HandleFunc("/apply", s.apply).Methods(http.MethodPost)
	api.HandleFunc("/preset", s.usePreset).Methods(http.MethodPost)
	api.HandleFunc("/status", s.status).Methods(http.MethodGet)
	api.HandleFunc("/snapshot", s.snapshot).Methods(http.MethodGet)
	api.HandleFunc("/batches", s.activeBatches).Methods(http.MethodGet)
	api.HandleFunc("/endpoints/{name}/order", s.giveOrder).Methods(http.MethodPost)
	api.HandleFunc("/endpoints/{name}/leave", s.endpointOrder(true)).Methods(http.MethodPost)
	api.HandleFunc("/endpoints/{name}/return", s.endpointOrder(false)).Methods(http.MethodPost)
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

func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	snapshot, _, err := s.readApply(w, r)
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	current, err := s.readHead(r.Context())
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, DiffReply{
		Revision: current.head.Revision, Preset: current.head.Preset, Changes: describe(declarer.Diff(current.snapshot, snapshot)),
	})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	snapshot, req, err := s.readApply(w, r)
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	head, err := s.change(r.Context(), req.ExpectedRevision, func(old headState) (declarer.Snapshot, string) {
		return snapshot, firstOf(req.Preset, old.head.Preset, onlyPreset(snapshot))
	})
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, head)
}

func (s *Server) usePreset(w http.ResponseWriter, r *http.Request) {
	req := ApplyRequest{}
	if err := readJSON(w, r, &req); err != nil {
		writeOperatorProblem(w, err)
		return
	}
	head, err := s.change(r.Context(), req.ExpectedRevision, func(old headState) (declarer.Snapshot, string) {
		return old.snapshot, req.Preset
	})
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, head)
}

// onlyPreset returns the name of the one preset, or nothing where the operator must choose.
func onlyPreset(s declarer.Snapshot) string {
	if len(s.Presets) == 1 {
		return s.Presets[0].Name
	}
	return ""
}

func firstOf(names ...string) string {
	for _, name := range names {
		if name != "" {
			return name
		}
	}
	return ""
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDeclarationBytes))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &problemError{problem: badField("body", "", "send one JSON object: "+err.Error())}
	}
	return nil
}

func (s *Server) readApply(w http.ResponseWriter, r *http.Request) (declarer.Snapshot, ApplyRequest, error) {
	req := ApplyRequest{}
	if err := readJSON(w, r, &req); err != nil {
		return declarer.Snapshot{}, req, err
	}
	snapshot, err := loader.Parse(req.Files)
	return snapshot, req, err
}

// headState is the head as the store has it, with its snapshot.
type headState struct {
	head     configurator.Head
	version  int64
	snapshot declarer.Snapshot
}

func (s *Server) readHead(ctx context.Context) (headState, error) {
	row, version, err := storer.ReadJSON[follower.HeadRow](ctx, s.Store, follower.HeadKey)
	if err != nil || version == 0 {
		return headState{}, err
	}
	snapshot, err := follower.FetchSnapshot(ctx, s.Store, row.Hash)
	return headState{head: row.Head, version: version, snapshot: snapshot}, err
}

// RaceLostError says that another operator's change came first.
type RaceLostError struct {
	Expected int64
	Current  configurator.Head
	Changes  []declarer.Change
}

// Error names both revisions.
func (e *RaceLostError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d is in force: look at the difference and apply again with it",
		e.Expected, e.Current.Revision)
}

// change writes the next revision under a check on the one expected.
func (s *Server) change(
	ctx context.Context, expected int64, next func(headState) (declarer.Snapshot, string),
) (configurator.Head, error) {
	old, err := s.readHead(ctx)
	if err != nil {
		return configurator.Head{}, err
	}
	snapshot, preset := next(old)
	if old.head.Revision != expected {
		return old.head, &RaceLostError{Expected: expected, Current: old.head, Changes: declarer.Diff(old.snapshot, snapshot)}
	}
	if _, ok := snapshot.Preset(preset); !ok {
		p := badField("preset", preset, "name one of the declared presets: "+presetNames(snapshot))
		return old.head, &problemError{problem: p}
	}
	raw, hash, err := snapshot.Encode()
	if err != nil {
		return old.head, err
	}
	if err := s.Store.PutObject(ctx, follower.SnapshotObject(hash), raw); err != nil {
		return old.head, err
	}
	head := configurator.Head{Revision: expected + 1, Hash: hash, Preset: preset}
	if err := s.writeHead(ctx, old, follower.HeadRow{Head: head, Writer: uuid.NewString()}); err != nil {
		return head, err
	}
	s.follower.See(head, "")
	s.log.WithFields(logrus.Fields{"revision": head.Revision, "preset": head.Preset}).Info("configuration changed")
	return head, nil
}

// writeHead writes the head; when the answer is lost, the row says whose write took effect.
func (s *Server) writeHead(ctx context.Context, old headState, row follower.HeadRow) error {
	_, err := s.Store.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: follower.HeadKey, Version: old.version}},
		Puts:   []storer.Put{storer.PutJSON(follower.HeadKey, row)},
	})
	if err == nil {
		return nil
	}
	found, _, readErr := storer.ReadJSON[follower.HeadRow](ctx, s.Store, follower.HeadKey)
	switch {
	case readErr != nil:
		return err
	case found.Writer == row.Writer:
		return nil
	case found.Revision != old.head.Revision:
		return &RaceLostError{Expected: old.head.Revision, Current: found.Head}
	default:
		return err
	}
}

func presetNames(s declarer.Snapshot) string {
	names := []string{}
	for _, p := range s.Presets {
		names = append(names, p.Name)
	}
	return strings.Join(names, " ")
}

func describe(changes []declarer.Change) []DescribedChange {
	list := []DescribedChange{}
	for _, c := range changes {
		list = append(list, DescribedChange{Change: c.Change, Kind: c.Kind, Name: c.Name, Old: asJSON(c.Old), New: asJSON(c.New)})
	}
	return list
}

func asJSON(d declarer.Declaration) json.RawMessage {
	if d == nil {
		return nil
	}
	raw, _ := json.Marshal(d)
	return raw
}

func writeOperatorProblem(w http.ResponseWriter, err error) {
	op := OperatorProblem{}
	var fields *loader.FieldErrors
	var race *RaceLostError
	var busy *orderer.BusyError
	switch {
	case errors.As(err, &fields):
		op.Problem = *newProblem(http.StatusUnprocessableEntity, "declarations", "Declarations not accepted", fields.Error())
		op.Errors = fields.Errors
	case errors.As(err, &busy):
		op.Problem = *newProblem(http.StatusConflict, "orderBusy", "Another order runs", busy.Error()).withRetry(busy.RetryAfter)
	case errors.As(err, &race):
		op.Problem = *newProblem(http.StatusConflict, "raceLost", "Another change came first", race.Error())
		op.Current, op.Changes = &race.Current, describe(race.Changes)
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

// endpointOrder spreads an operator's order that an endpoint gets no new work, or gets it again.
func (s *Server) endpointOrder(isLeaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := mux.Vars(r)["name"]
		if _, ok := s.follower.Current().Snapshot.Endpoint(name); !ok {
			writeOperatorProblem(w, &problemError{problem: badField("endpoint", name, "name a declared endpoint")})
			return
		}
		s.OnEndpointNews(name, isLeaving)
		writeJSON(w, http.StatusAccepted, struct {
			Endpoint  string `json:"endpoint"`
			IsLeaving bool   `json:"isLeaving"`
		}{name, isLeaving})
	}
}

// status asks every VM which revision it has in force; silence is never taken for consent.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	members := s.everyVM(ctx)
	reply := StatusReply{Head: s.follower.Current().Head, VMs: make([]VMStatus, len(members))}
	slots := make(chan struct{}, statusAtOnce)
	wg := sync.WaitGroup{}
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reply.VMs[i] = s.statusOf(ctx, m)
		})
	}
	wg.Wait()
	writeJSON(w, http.StatusOK, reply)
}

// everyVM joins the VMs that this one has heard of with those on the platform's list, for either may lag.
func (s *Server) everyVM(ctx context.Context) []detector.Member {
	view := s.Membership.View()
	members := slices.Clone(view.Members)
	listed, err := s.Store.ListVMs(ctx)
	if err != nil {
		s.log.WithError(err).Warn("status without the platform's list of VMs")
	}
	for _, vm := range listed {
		if _, ok := view.Member(vm.ID); ok || vm.IsLeaving || vm.Role == storer.RoleEndpoint {
			continue
		}
		members = append(members, detector.Member{
			VM: vm.ID, Address: vm.Address, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
		})
	}
	return members
}

func (s *Server) statusOf(ctx context.Context, m detector.Member) VMStatus {
	st := VMStatus{VM: m.VM, Region: m.Region, AvailabilityZone: m.AvailabilityZone, State: m.State.String()}
	if m.VM == s.cfg.VM {
		head := s.follower.Current().Head
		st.HasAnswered, st.Revision, st.Preset = true, head.Revision, head.Preset
		return st
	}
	if m.State == detector.Lost {
		return st
	}
	client, err := s.Caller.VM(m.Address)
	if err != nil {
		return st
	}
	reply, err := client.Status(ctx, &wire.StatusRequest{})
	if err == nil {
		st.HasAnswered, st.Revision, st.Preset = true, reply.GetHead().GetRevision(), reply.GetHead().GetPreset()
	}
	return st
}
