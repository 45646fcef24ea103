package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

// EngineHandler serves an Engine over the chat-completions API, with streams that can be paused, resumed and cancelled.
func EngineHandler(e *Engine) http.Handler {
	h := &engineHandler{engine: e}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", h.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{id}", h.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{id}", h.stop).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", h.load).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", h.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", h.order).Methods(http.MethodPost)
	r.HandleFunc("/admin/faults", h.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/admin/executions", h.executions).Methods(http.MethodGet)
	return r
}

type engineHandler struct {
	engine *Engine
}

func (h *engineHandler) complete(w http.ResponseWriter, r *http.Request) {
	req := encoder.ChatRequest{}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.engine.mu.Lock()
	isRefusing := h.engine.faults.IsRefusing
	h.engine.mu.Unlock()
	switch {
	case isRefusing:
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "engine is refusing", http.StatusServiceUnavailable)
	case strings.Contains(encoder.PromptText(req), PoisonMark):
		http.Error(w, "engine can't process this prompt", http.StatusInternalServerError)
	default:
		id := r.Header.Get("X-Stream-Id")
		h.sendStream(w, r, req.Model, h.engine.start(id, req), 0)
	}
}

func (h *engineHandler) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset: not a count of tokens", http.StatusBadRequest)
		return
	}
	s, ok := h.engine.resume(mux.Vars(r)["id"])
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	h.sendStream(w, r, r.URL.Query().Get("model"), s, offset)
}

// sendStream sends the stream's tokens from offset on, until the stream ends or is paused, the caller disconnects, or an
// injected fault truncates it.
func (h *engineHandler) sendStream(w http.ResponseWriter, r *http.Request, model string, s *stream, offset int) {
	e := h.engine
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	e.addWatchers(s, 1)
	defer e.addWatchers(s, -1)
	for {
		e.mu.Lock()
		tokens, isFinished, isPaused, changed := s.text[min(offset, len(s.text)):], s.isFinished, s.isPaused, s.changed
		faults := e.faults
		e.mu.Unlock()
		for _, token := range tokens {
			offset++
			if err := encoder.WriteEvent(w, offset, newChunk(s, model, token, offset, isFinished)); err != nil {
				return
			}
			if faults.CutAfterTokens > 0 && offset >= faults.CutAfterTokens {
				e.clearTruncation()
				if faults.IsCutClean {
					return
				}
				panic(http.ErrAbortHandler)
			}
		}
		if isFinished && offset >= s.seq.WantTokens {
			_ = encoder.WriteDone(w)
			return
		}
		if isPaused {
			return
		}
		_ = flush.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// addWatchers changes the number of requests that receive the stream by n.
func (e *Engine) addWatchers(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.watchers += n
	s.leftAt = time.Now()
}

// clearTruncation removes the fault that truncates streams, so that it affects only one.
func (e *Engine) clearTruncation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.CutAfterTokens = 0
}

// newChunk returns the event of one token; the last one has the finish reason and the usage.
func newChunk(s *stream, model, token string, offset int, isFinished bool) encoder.Chunk {
	c := encoder.Chunk{
		ID:      "chatcmpl-" + s.seq.ID,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   model,
		Choices: []encoder.ChunkChoice{{Delta: encoder.Delta{Role: "assistant", Content: token}}},
	}
	if isFinished && offset == s.seq.WantTokens {
		reason := encoder.FinishStop
		c.Choices[0].FinishReason = &reason
		c.Usage = &encoder.Usage{
			PromptTokens:     s.seq.PromptTokens,
			CompletionTokens: offset,
			TotalTokens:      s.seq.PromptTokens + offset,
		}
	}
	return c
}

func (h *engineHandler) stop(w http.ResponseWriter, r *http.Request) {
	h.engine.stop(mux.Vars(r)["id"], r.URL.Query().Get("keep") == "true")
	w.WriteHeader(http.StatusNoContent)
}

func (h *engineHandler) load(w http.ResponseWriter, _ *http.Request) {
	h.engine.mu.Lock()
	report := h.engine.report
	h.engine.mu.Unlock()
	reply(w, report, nil)
}

func (h *engineHandler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	events := []CacheEvent{}
	h.engine.mu.Lock()
	for _, ev := range h.engine.events {
		if ev.Number > after {
			events = append(events, ev)
		}
	}
	h.engine.mu.Unlock()
	reply(w, events, nil)
}

func (h *engineHandler) order(w http.ResponseWriter, r *http.Request) {
	o := Order{}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.engine.carryOut(o); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	reply(w, o, nil)
}

func (h *engineHandler) setFaults(w http.ResponseWriter, r *http.Request) {
	f := EngineFaults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.engine.mu.Lock()
	h.engine.faults = f
	h.engine.mu.Unlock()
}

// executions answers how often each request was started, by stream id.
func (h *engineHandler) executions(w http.ResponseWriter, _ *http.Request) {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	reply(w, h.engine.executed, nil)
}
