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

// VMStatus is the state of one VM; Revision is 0 if the VM did not answer.
type VMStatus struct {
	VM               string `json:"vm"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	State            string `json:"state"`
	HasAnswered      bool   `json:"hasAnswered"`
	Revision         int64  `json:"revision"`
	Preset           string `json:"preset"`
}

// StatusReply is the state of the fleet as observed by the VM that was asked.
type StatusReply struct {
	Head configurator.Head `json:"head"`
	VMs  []VMStatus        `json:"vms"`
}

// status asks every VM for its active revision; a VM that doesn't answer is never reported as up to date.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	members := s.knownVMs(ctx)
	reply := StatusReply{Head: s.follower.Current().Head, VMs: make([]VMStatus, len(members))}
	semaphore := make(chan struct{}, statusConcurrency)
	wg := sync.WaitGroup{}
	for i, m := range members {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			reply.VMs[i] = s.statusOf(ctx, m)
		})
	}
	wg.Wait()
	writeJSON(w, http.StatusOK, reply)
}

// knownVMs merges the members that this VM knows by gossip with the platform's list of VMs, because either may lag behind.
func (s *Server) knownVMs(ctx context.Context) []detector.Member {
	view := s.Membership.View()
	members := slices.Clone(view.Members)
	listed, err := s.Store.ListVMs(ctx)
	if err != nil {
		s.log.WithError(err).Warn("platform's list of VMs not read; status shows only the members known by gossip")
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
