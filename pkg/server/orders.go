package server

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/enginecontroller"
)

// OrderReply holds the outcome of an order and the fencing token that it carried.
type OrderReply struct {
	Endpoint string `json:"endpoint"`
	Fence    int64  `json:"fence"`
	Outcome  string `json:"outcome"`
}

// sendOrder sends an operator's order to a model engine, under the fenced lease of that engine.
func (s *Server) sendOrder(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	e, ok := s.follower.Current().Snapshot.Endpoint(name)
	if !ok || len(e.Models) == 0 {
		writeOperatorProblem(w, &problemError{problem: badField("endpoint", name, "name a declared model engine")})
		return
	}
	body, lease, err := s.readBody(w, r, MaxBodyBytes)
	order := enginecontroller.Order{}
	if err == nil {
		err = s.decode(body, &order)
	}
	defer lease.Close()
	if err != nil {
		writeOperatorProblem(w, err)
		return
	}
	fence, o, err := s.EngineController.Execute(r.Context(), e, order)
	if err != nil {
		writeOperatorProblem(w, orderError(o, err))
		return
	}
	writeJSON(w, http.StatusOK, OrderReply{Endpoint: name, Fence: fence, Outcome: outcome.Name(o)})
}

// orderError turns the error of an order with unknown outcome into a problem that says so: the engine may still execute it.
func orderError(o outcome.Outcome, err error) error {
	if _, isUnknown := o.(outcome.Unknown); !isUnknown {
		return err
	}
	p := newProblem(http.StatusBadGateway, "orderUncertain", "Order uncertain", err.Error())
	return &problemError{problem: p.withOutcome(o).withRetry(enginecontroller.LeaseLength)}
}
