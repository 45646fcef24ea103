package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
)

const timeoutHeader = "X-Request-Timeout"

// decodeChat parses and validates a chat request and looks up its model.
func (s *Server) decodeChat(body []byte, current *declarer.Snapshot) (encoder.ChatRequest, declarer.Model, *Problem) {
	req := encoder.ChatRequest{}
	if err := json.Unmarshal(body, &req); err != nil {
		return req, declarer.Model{}, badField("body", "", "send one JSON object: "+err.Error())
	}
	fails := validator.ValidationErrors{}
	if err := s.validate.Struct(req); errors.As(err, &fails) {
		return req, declarer.Model{}, badField(loader.FieldPath(fails[0]), "", loader.Remedy(fails[0]))
	}
	model, ok := current.Model(req.Model)
	if !ok {
		p := badField("model", req.Model, "use a model of GET /v1/models")
		p.Status, p.Type = http.StatusNotFound, problemBaseURI+"unknownModel"
		return req, model, p
	}
	needs := encoder.CountTokens(encoder.PromptText(req)) + req.TokenLimit(model.DefaultTokens)
	if needs > model.ContextTokens {
		return req, model, badField("max_tokens", strconv.Itoa(req.TokenLimit(model.DefaultTokens)),
			"prompt and answer need "+strconv.Itoa(needs)+" tokens, but "+model.Name+" holds "+strconv.Itoa(model.ContextTokens))
	}
	return req, model, nil
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	current := currentOf(r)
	body, lease, err := s.readBody(w, r, MaxBodyBytes)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	defer lease.Close()
	req, model, problem := s.decodeChat(body, &current.Snapshot)
	if problem != nil {
		problem.write(w, r)
		return
	}
	text := encoder.PromptText(req)
	tokens := encoder.CountTokens(text) + req.TokenLimit(model.DefaultTokens)
	if err := s.limit(r, tokens); err != nil {
		problemOf(err).write(w, r)
		return
	}
	deadline, problem := deadlineOf(r, current.Preset.Online.Deadline)
	if problem != nil {
		problem.write(w, r)
		return
	}
	streamed, err := forwarder.AsStreamed(body)
	if err != nil {
		badField("body", "", err.Error()).write(w, r)
		return
	}
	call := forwarder.Call{
		Account: accountOf(r).Name, Serves: model.Name, Blocks: encoder.PromptBlocks(text),
		Tokens: req.TokenLimit(model.DefaultTokens), Bytes: len(body), Deadline: deadline, IsRepeatable: true,
	}
	reply := &chatReply{w: w, r: r, id: "chatcmpl-" + requestID(r), req: req}
	answer, err := s.Dispatcher.Chat(r.Context(), s.Pools, call, streamed, reply.writePiece)
	reply.end(answer, err)
}

// deadlineOf returns the request's deadline: the timeout of its X-Request-Timeout header, capped at maxTimeout, which is also
// the default.
func deadlineOf(r *http.Request, maxTimeout time.Duration) (time.Time, *Problem) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return time.Now().Add(maxTimeout), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return time.Time{}, badField(timeoutHeader, text, "send a length such as 2s or 800ms")
	}
	return time.Now().Add(min(d, maxTimeout)), nil
}

// chatReply writes one answer, as a stream or as a single JSON body.
type chatReply struct {
	w            http.ResponseWriter
	r            *http.Request
	id           string
	req          encoder.ChatRequest
	offset       int
	isHeaderSent bool
}

// writePiece sends a piece to a caller that asked for a stream; for other callers it does nothing.
func (c *chatReply) writePiece(p forwarder.Piece) error {
	if !c.req.Stream {
		return nil
	}
	if !c.isHeaderSent {
		c.isHeaderSent = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
		c.w.WriteHeader(http.StatusOK)
	}
	chunk := p.Event.Chunk
	chunk.ID, chunk.Usage = c.id, nil
	if len(chunk.Choices) > 0 {
		chunk.Choices[0].Delta.Content = p.Text
	}
	c.offset++
	if err := encoder.WriteEvent(c.w, c.offset, chunk); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// end completes the response: it writes the JSON body, the end of the stream, or the problem.
func (c *chatReply) end(answer *forwarder.Answer, err error) {
	switch {
	case err != nil && c.isHeaderSent:
		// The status is sent already, so an error event reports that the answer is truncated; no end marker follows.
		p := problemOf(err).withOutcome(outcome.Unknown{})
		p.finish(requestID(c.r))
		_ = encoder.WriteError(c.w, p)
	case err != nil:
		problemOf(err).write(c.w, c.r)
	case c.req.Stream:
		c.endStream(answer)
	default:
		writeJSON(c.w, http.StatusOK, answer.Completion(c.id))
	}
}

func (c *chatReply) endStream(answer *forwarder.Answer) {
	if c.req.StreamOptions != nil && c.req.StreamOptions.IncludeUsage {
		usage := answer.First
		usage.ID, usage.Usage, usage.Choices = c.id, answer.Usage, []encoder.ChunkChoice{}
		_ = encoder.WriteEvent(c.w, c.offset, usage)
	}
	_ = encoder.WriteDone(c.w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type listObject[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func newModelObject(m declarer.Model) modelObject {
	return modelObject{ID: m.Name, Object: "model", OwnedBy: "dogwoodledge"}
}

func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	list := listObject[modelObject]{Object: "list", Data: []modelObject{}}
	for _, m := range currentOf(r).Snapshot.Models {
		list.Data = append(list.Data, newModelObject(m))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getModel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	m, ok := currentOf(r).Snapshot.Model(id)
	if !ok {
		newProblem(http.StatusNotFound, "unknownModel", "Unknown model", "model: "+id+" is not declared").write(w, r)
		return
	}
	writeJSON(w, http.StatusOK, newModelObject(m))
}
