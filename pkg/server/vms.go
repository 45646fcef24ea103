package server

import (
	"context"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/granter"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
)

// VMHandler handles the gRPC calls of other VMs.
type VMHandler struct {
	wire.UnimplementedVMsServer

	vm       string
	granter  *granter.Granter
	follower *follower.Follower
	claims   *ClaimRunner
}

var _ wire.VMsServer = (*VMHandler)(nil)

// NewVMHandler returns the handler of the calls that other VMs make to the VM named vm.
func NewVMHandler(vm string, g *granter.Granter, f *follower.Follower, c *ClaimRunner) *VMHandler {
	return &VMHandler{vm: vm, granter: g, follower: f, claims: c}
}

// Reserve confirms at once that the request is queued; its second message is the slot or a refusal.
func (v *VMHandler) Reserve(req *wire.ReserveRequest, s grpc.ServerStreamingServer[wire.ReserveReply]) error {
	return v.granter.ServeReserve(req, s)
}

// Return frees a slot.
func (v *VMHandler) Return(ctx context.Context, req *wire.ReturnRequest) (*wire.ReturnReply, error) {
	return v.granter.ServeReturn(ctx, req)
}

// Declare registers slots that the calling VM already holds with the endpoint's new slot allocator.
func (v *VMHandler) Declare(ctx context.Context, req *wire.DeclareRequest) (*wire.DeclareReply, error) {
	return v.granter.ServeDeclare(ctx, req)
}

// Status returns the head of the active configuration.
func (v *VMHandler) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return &wire.StatusReply{Vm: v.vm, Head: packer.HeadToWire(v.follower.Current().Head)}, nil
}

// Snapshot returns the active snapshot if it has the requested hash.
func (v *VMHandler) Snapshot(_ context.Context, req *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	raw, ok := v.follower.Snapshot(req.GetHash())
	if !ok {
		return nil, status.Errorf(codes.NotFound, "VM %s has no snapshot %s in force", v.vm, req.GetHash())
	}
	return &wire.SnapshotReply{Snapshot: raw}, nil
}

// Attempt reports whether this VM still runs an attempt or still stores its outcome.
func (v *VMHandler) Attempt(_ context.Context, req *wire.AttemptRequest) (*wire.AttemptReply, error) {
	return &wire.AttemptReply{AtWork: v.claims.IsInProgress(req.GetAttempt())}, nil
}

func constantTimeEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
