package peersyncer

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// newEarlierPeer starts a peer that offers only the methods of earlier builds, and returns its address.
func newEarlierPeer(t *testing.T, w *watcher.Watcher) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	desc := serviceDesc()
	desc.Methods = desc.Methods[:1]
	require.Equal(t, rowsMethod, desc.Methods[0].MethodName)
	server := grpc.NewServer()
	server.RegisterService(desc, &Server{watcher: w, sources: []Source{w}})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().(*net.TCPAddr).AddrPort()
}
