package packer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

// TestBuildsUnderstandEachOther checks that a datagram of an older build, whose members have no flag, is one of VMs in touch,
// that a field which a build doesn't know does no harm, and that the flag costs a VM in touch no byte.
func TestBuildsUnderstandEachOther(t *testing.T) {
	m := detector.Member{VM: "vm-1", Address: netip.MustParseAddrPort("10.0.0.1:7000"), Region: "syd", Incarnation: 7}
	inTouch, err := EncodeDatagram(detector.Probe{Number: 1, Gossip: detector.Gossip{From: m}})
	require.NoError(t, err)
	m.IsPartitioned = true
	partitioned, err := EncodeDatagram(detector.Probe{Number: 1, Gossip: detector.Gossip{From: m}})
	require.NoError(t, err)
	assert.Len(t, partitioned, len(inTouch)+2)

	d := &wire.Datagram{}
	require.NoError(t, proto.Unmarshal(partitioned, d))
	from := d.GetNews().GetFrom()
	from.Partitioned = false
	unknown := protowire.AppendVarint(protowire.AppendTag(nil, 100, protowire.VarintType), 1)
	from.ProtoReflect().SetUnknown(unknown)
	raw, err := proto.Marshal(d)
	require.NoError(t, err)
	got, err := DecodeDatagram(raw)
	require.NoError(t, err)
	m.IsPartitioned = false
	assert.Equal(t, detector.Probe{Number: 1, Gossip: detector.Gossip{From: m}}, got)
}
