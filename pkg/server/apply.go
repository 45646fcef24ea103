package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// ApplyRequest asks to make declarations, or a preset, active.
type ApplyRequest struct {
	Files            []loader.File `json:"files,omitempty"`
	Preset           string        `json:"preset,omitempty"`
	ExpectedRevision int64         `json:"expectedRevision"`
}

// DiffReply lists the changes from the active declarations to the ones sent.
type DiffReply struct {
	Revision int64             `json:"revision"`
	Preset   string            `json:"preset"`
	Changes  []DescribedChange `json:"changes"`
}

// DescribedChange is a declarer.Change with both declarations as JSON.
type DescribedChange struct {
	Change declarer.ChangeKind `json:"change"`
	Kind   string              `json:"kind"`
	Name   string              `json:"name"`
	Old    json.RawMessage     `json:"old,omitempty"`
	New    json.RawMessage     `json:"new,omitempty"`
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
		Revision: current.head.Revision, Preset: current.head.Preset,
		Changes: describeChanges(declarer.Diff(current.snapshot, snapshot)),
	})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	snapshot, req, err := s.readApply(w, r)
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	head, err := s.writeRevision(r.Context(), req.ExpectedRevision, func(old headState) (declarer.Snapshot, string) {
		return snapshot, firstNonEmpty(req.Preset, old.head.Preset, onlyPreset(snapshot))
	})
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, head)
}

func (s *Server) usePreset(w http.ResponseWriter, r *http.Request) {
	req := ApplyRequest{}
	if err := s.readJSON(w, r, &req); err != nil {
		writeOperatorProblem(w, err)
		return
	}
	head, err := s.writeRevision(r.Context(), req.ExpectedRevision, func(old headState) (declarer.Snapshot, string) {
		return old.snapshot, req.Preset
	})
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, head)
}

// onlyPreset returns the preset's name if there is exactly one; with several, the operator must choose.
func onlyPreset(s declarer.Snapshot) string {
	if len(s.Presets) == 1 {
		return s.Presets[0].Name
	}
	return ""
}

func firstNonEmpty(names ...string) string {
	for _, name := range names {
		if name != "" {
			return name
		}
	}
	return ""
}

func (s *Server) readApply(w http.ResponseWriter, r *http.Request) (declarer.Snapshot, ApplyRequest, error) {
	req := ApplyRequest{}
	if err := s.readJSON(w, r, &req); err != nil {
		return declarer.Snapshot{}, req, err
	}
	snapshot, err := loader.Parse(req.Files)
	return snapshot, req, err
}

// headState is the head row as stored, with its version and its snapshot.
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

// RevisionConflictError says that another operator's change was written first, so the expected revision is outdated.
type RevisionConflictError struct {
	Expected int64
	Current  configurator.Head
	Changes  []declarer.Change
}

// Error names the expected and the current revision.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d is in force: look at the difference and apply again with it",
		e.Expected, e.Current.Revision)
}

// writeRevision writes the next revision, provided that the stored one is the one expected (compare-and-swap).
func (s *Server) writeRevision(
	ctx context.Context, expected int64, next func(headState) (declarer.Snapshot, string),
) (configurator.Head, error) {
	old, err := s.readHead(ctx)
	if err != nil {
		return configurator.Head{}, err
	}
	snapshot, preset := next(old)
	if old.head.Revision != expected {
		return old.head, &RevisionConflictError{Expected: expected, Current: old.head, Changes: declarer.Diff(old.snapshot, snapshot)}
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
	s.follower.ObserveHead(head, "")
	s.log.WithFields(logrus.Fields{"revision": head.Revision, "preset": head.Preset}).Info("configuration changed")
	return head, nil
}

// writeHead writes the head row. If the commit fails, it reads the row back: Writer shows whose write took effect.
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
		return &RevisionConflictError{Expected: old.head.Revision, Current: found.Head}
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

func describeChanges(changes []declarer.Change) []DescribedChange {
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
