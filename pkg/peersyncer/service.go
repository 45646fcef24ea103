package peersyncer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// serviceName is part of the protocol between VMs, also of different builds.
	serviceName = "dogwoodledge.Informer"
	// rowsMethod returns all rows, for builds that don't know newsMethod.
	rowsMethod = "Rows"
	newsMethod = "News"
)

// Server serves the rows of its sources to other VMs.
type Server struct {
	watcher *watcher.Watcher
	// sources holds the watcher, too.
	sources []Source
	// follows and configFollows are nil if this VM passes no table, or no configuration, on.
	follows, configFollows *follows
}

// serviceDesc returns the gRPC service description. Requests are empty or opaque bytes and replies opaque bytes, so that no
// generated code is needed.
func serviceDesc() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			{
				MethodName: rowsMethod,
				Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
					if err := decode(&emptypb.Empty{}); err != nil {
						return nil, err
					}
					return srv.(*Server).rows()
				},
			},
			method(newsMethod, compressed, (*Server).news),
			method(followMethod, plain, (*Server).follow),
			method(followConfigMethod, plain, (*Server).followConfig),
		},
	}
}

// method returns the description of a method with messages of the format.
func method[Q, R any](name string, f format, serve func(*Server, context.Context, Q) (R, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			raw := &wrapperspb.BytesValue{}
			if err := decode(raw); err != nil {
				return nil, err
			}
			var q Q
			if err := f.decode(raw.GetValue(), &q); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			r, err := serve(srv.(*Server), ctx, q)
			if err != nil {
				return nil, err
			}
			b, err := f.encode(r)
			return wrapperspb.Bytes(b), err
		},
	}
}

func (s *Server) rows() (*wrapperspb.BytesValue, error) {
	var entries []storer.Entry
	for _, source := range s.sources {
		entries = append(entries, source.Rows()...)
	}
	b, err := cbor.Marshal(messagesOf(entries))
	return wrapperspb.Bytes(b), errors.Wrap(err, "encode rows")
}

// news returns the rows that are newer than those of the VM that asks.
func (s *Server) news(_ context.Context, q newsRequest) (newsReply, error) {
	var entries []storer.Entry
	if e := s.watcher.ConfigEntry(); e.Version > q.ConfigAfter {
		entries = append(entries, e)
	}
	reply := newsReply{}
	if q.HasRows {
		c := s.watcher.EndpointsAfter(q.EndpointsAfter)
		entries = append(entries, c.Entries...)
		reply.EndpointsVersion = c.Version
		for _, source := range s.sources {
			if source != Source(s.watcher) {
				entries = append(entries, source.Rows()...)
			}
		}
	}
	reply.Rows = messagesOf(entries)
	return reply, nil
}

func (s *Server) follow(ctx context.Context, q FollowRequest) (FollowReply, error) {
	if s.follows == nil {
		return FollowReply{}, status.Error(codes.Unimplemented, "this VM passes no table on")
	}
	return s.follows.follow(ctx, q)
}

func (s *Server) followConfig(ctx context.Context, q FollowRequest) (FollowReply, error) {
	if s.configFollows == nil {
		return FollowReply{}, status.Error(codes.Unimplemented, "this VM passes no configuration on")
	}
	return s.configFollows.follow(ctx, q)
}
