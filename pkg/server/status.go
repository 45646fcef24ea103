package server

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

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
