package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// ServiceFaults are the faults that can be injected.
//
// IsRefusing answers bookings with status 503 before they are carried out. DropAnswers counts the next bookings that are
// carried out but not answered. Slow delays the answer of every booking. A booking with the body CrashBody ends the process,
// unless CrashBody is empty.
type ServiceFaults struct {
	DropAnswers int           `json:"dropAnswers"`
	IsRefusing  bool          `json:"isRefusing"`
	Slow        time.Duration `json:"slow"`
	CrashBody   string        `json:"crashBody"`
}

// Service is a plain service with a ledger that counts how often each booking was carried out.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	ledger map[string]int
	// end ends the process.
	end func()
}

// crashStatus is the exit code of a service that a booking has crashed.
const crashStatus = 3

// ServiceHandler serves a plain service: GET /offers is idempotent, POST /bookings is not.
func ServiceHandler() http.Handler { return newServiceHandler(func() { os.Exit(crashStatus) }) }

func newServiceHandler(end func()) http.Handler {
	s := &Service{ledger: map[string]int{}, end: end}
	r := mux.NewRouter()
	r.HandleFunc("/offers", s.offers).Methods(http.MethodGet)
	r.HandleFunc("/bookings", s.book).Methods(http.MethodPost)
	r.HandleFunc("/admin/ledger", s.getLedger).Methods(http.MethodGet)
	r.HandleFunc("/admin/faults", s.setFaults).Methods(http.MethodPost)
	return r
}

func (s *Service) offers(w http.ResponseWriter, _ *http.Request) {
	reply(w, []string{"kiln-1 06:00", "kiln-2 14:00"}, nil)
}

// book counts the booking in the ledger before it answers, so that the ledger also has bookings whose answer was lost.
func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.IsRefusing {
		s.mu.Unlock()
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "service is refusing", http.StatusServiceUnavailable)
		return
	}
	if f.CrashBody != "" && string(body) == f.CrashBody {
		s.mu.Unlock()
		s.end()
		return
	}
	s.ledger[string(body)]++
	if f.DropAnswers > 0 {
		s.faults.DropAnswers--
	}
	n := len(s.ledger)
	s.mu.Unlock()
	time.Sleep(f.Slow)
	if f.DropAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]int{"booking": n})
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.ledger, nil)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	f := ServiceFaults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
