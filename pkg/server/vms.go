package server

import (
	"context"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/granter"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

// VMs answers the calls of other VMs.
type VMs struct {
	wire.UnimplementedVMsServer

	vm       string
	granter  *granter.Granter
	follower *follower.Follower
	claims   *Claims
}

var _ wire.VMsServer = (*VMs)(nil)

// NewVMs returns the handler of other VMs' calls.
func NewVMs(vm string, g *granter.Granter, f *follower.Follower, c *Claims) *VMs {
	return &VMs{vm: vm, granter: g, follower: f, claims: c}
}

// Reserve answers at once that the request is queued, and then with the slot or a refusal.
func (v *VMs) Reserve(req *wire.ReserveRequest, s grpc.ServerStreamingServer[wire.ReserveReply]) error {
	return v.granter.ServeReserve(req, s)
}

// Return takes a slot back.
func (v *VMs) Return(ctx context.Context, req *wire.ReturnRequest) (*wire.ReturnReply, error) {
	return v.granter.ServeReturn(ctx, req)
}

// Declare takes in slots that are held already.
func (v *VMs) Declare(ctx context.Context, req *wire.DeclareRequest) (*wire.DeclareReply, error) {
	return v.granter.ServeDeclare(ctx, req)
}

// Status tells which configuration is in force.
func (v *VMs) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return &wire.StatusReply{Vm: v.vm, Head: messenger.HeadToWire(v.follower.Current().Head)}, nil
}

// Snapshot hands out the snapshot in force.
func (v *VMs) Snapshot(_ context.Context, req *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	raw, ok := v.follower.Snapshot(req.GetHash())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "VM %s has no snapshot %s in force", v.vm, req.GetHash())
	}
	return &wire.SnapshotReply{Snapshot: raw}, nil
}

// Attempt tells whether this VM still works on an attempt.
func (v *VMs) Attempt(_ context.Context, req *wire.AttemptRequest) (*wire.AttemptReply, error) {
	return &wire.AttemptReply{AtWork: v.claims.IsAtWork(req.GetAttempt())}, nil
}

func constantTimeEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
