package peersyncer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// serviceName is part of the protocol between VMs, also of different builds.
	serviceName = "dogwoodledge.Informer"
	rowsMethod  = "Rows"
)

// rowMessage is the wire format of a table row: an array of the fields in this order.
type rowMessage struct {
	_ struct{} `cbor:",toarray"`

	Table, Key string
	Value      []byte
	Version    int64
	IsRemoved  bool
}

// Server serves the rows of its sources to other VMs.
type Server struct {
	sources []Source
}

// serviceDesc returns the gRPC service description. The request is empty and the reply is opaque bytes, so that no generated
// code is needed.
func serviceDesc() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{{
			MethodName: rowsMethod,
			Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				if err := decode(&emptypb.Empty{}); err != nil {
					return nil, err
				}
				return srv.(*Server).rows()
			},
		}},
	}
}

func (s *Server) rows() (*wrapperspb.BytesValue, error) {
	var entries []storer.Entry
	for _, source := range s.sources {
		entries = append(entries, source.Rows()...)
	}
	rows := make([]rowMessage, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, rowMessage{
			Table: e.Table, Key: e.Key, Value: e.Value, Version: e.Version, IsRemoved: e.IsRemoved,
		})
	}
	b, err := cbor.Marshal(rows)
	return wrapperspb.Bytes(b), errors.Wrap(err, "encode rows")
}

func decodeRows(b []byte) ([]storer.Entry, error) {
	var rows []rowMessage
	if err := cbor.Unmarshal(b, &rows); err != nil {
		return nil, errors.Wrap(err, "decode rows")
	}
	entries := make([]storer.Entry, 0, len(rows))
	for _, r := range rows {
		entries = append(entries, storer.Entry{
			Table: r.Table, Key: r.Key, Value: r.Value, Version: r.Version, IsRemoved: r.IsRemoved,
		})
	}
	return entries, nil
}
