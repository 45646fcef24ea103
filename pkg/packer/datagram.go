package packer

import (
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

// MaxDatagramBytes is the maximum length of a datagram with its MAC; a longer one is not sent, so that none is fragmented.
const MaxDatagramBytes = 1400

// EncodeDatagram encodes a detector's message without its MAC.
func EncodeDatagram(m detector.Message) ([]byte, error) {
	d := &wire.Datagram{}
	switch m := m.(type) {
	case detector.Probe:
		d.Kind, d.Number, d.News = wire.Datagram_KIND_PROBE, m.Number, gossipToWire(m.Gossip)
		d.OnBehalfOf = addressToWire(m.OnBehalfOf)
	case detector.Ack:
		d.Kind, d.Number, d.News = wire.Datagram_KIND_ACK, m.Number, gossipToWire(m.Gossip)
		d.OnBehalfOf = addressToWire(m.OnBehalfOf)
	case detector.ProbeRequest:
		d.Kind, d.Number, d.News = wire.Datagram_KIND_PROBE_REQUEST, m.Number, gossipToWire(m.Gossip)
		d.Target = addressToWire(m.Target)
	}
	raw, err := proto.Marshal(d)
	return raw, errors.Wrap(err, "encode datagram")
}

// DecodeDatagram decodes a detector's message and checks that it is complete.
func DecodeDatagram(raw []byte) (detector.Message, error) {
	d := &wire.Datagram{}
	if err := proto.Unmarshal(raw, d); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	gossip, err := gossipFromWire(d.GetNews())
	if err != nil {
		return nil, err
	}
	onBehalfOf, err := addressFromWire(d.GetOnBehalfOf())
	if err != nil {
		return nil, err
	}
	target, err := addressFromWire(d.GetTarget())
	if err != nil {
		return nil, err
	}
	switch d.GetKind() {
	case wire.Datagram_KIND_PROBE:
		return detector.Probe{Number: d.GetNumber(), OnBehalfOf: onBehalfOf, Gossip: gossip}, nil
	case wire.Datagram_KIND_ACK:
		return detector.Ack{Number: d.GetNumber(), OnBehalfOf: onBehalfOf, Gossip: gossip}, nil
	case wire.Datagram_KIND_PROBE_REQUEST:
		if !target.IsValid() {
			return nil, errors.New("probe request names no target")
		}
		return detector.ProbeRequest{Number: d.GetNumber(), Target: target, Gossip: gossip}, nil
	default:
		return nil, errors.Errorf("datagram of unknown kind %d", d.GetKind())
	}
}

func gossipToWire(g detector.Gossip) *wire.News {
	w := &wire.News{From: memberToWire(g.From), Head: HeadToWire(g.Head)}
	for _, m := range g.Members {
		w.Members = append(w.Members, memberToWire(m))
	}
	for _, e := range g.Endpoints {
		w.Endpoints = append(w.Endpoints, &wire.EndpointNews{Endpoint: e.Endpoint, Leaving: e.IsLeaving, Number: e.Number})
	}
	return w
}

func gossipFromWire(w *wire.News) (detector.Gossip, error) {
	from, err := memberFromWire(w.GetFrom())
	if err != nil {
		return detector.Gossip{}, err
	}
	g := detector.Gossip{From: from, Head: HeadFromWire(w.GetHead())}
	for _, m := range w.GetMembers() {
		member, err := memberFromWire(m)
		if err != nil {
			return detector.Gossip{}, err
		}
		g.Members = append(g.Members, member)
	}
	for _, e := range w.GetEndpoints() {
		g.Endpoints = append(g.Endpoints, detector.EndpointUpdate{
			Endpoint: e.GetEndpoint(), IsLeaving: e.GetLeaving(), Number: e.GetNumber(),
		})
	}
	return g, nil
}

func memberToWire(m detector.Member) *wire.Member {
	return &wire.Member{
		Vm: m.VM, Address: addressToWire(m.Address), Region: m.Region, AvailabilityZone: m.AvailabilityZone,
		State: int32(m.State), Incarnation: m.Incarnation, Partitioned: m.IsPartitioned,
	}
}

func memberFromWire(w *wire.Member) (detector.Member, error) {
	addr, err := addressFromWire(w.GetAddress())
	if err != nil {
		return detector.Member{}, err
	}
	state := detector.State(w.GetState())
	if w.GetVm() == "" || !addr.IsValid() || state < detector.Alive || state > detector.Lost {
		return detector.Member{}, errors.Errorf("invalid member: id %q, state %d, address %s", w.GetVm(), state, addr)
	}
	return detector.Member{
		VM: w.GetVm(), Address: addr, Region: w.GetRegion(), AvailabilityZone: w.GetAvailabilityZone(),
		State: state, Incarnation: w.GetIncarnation(), IsPartitioned: w.GetPartitioned(),
	}, nil
}

// HeadToWire encodes a configuration's head.
func HeadToWire(h configurator.Head) *wire.Head {
	return &wire.Head{Revision: h.Revision, Hash: h.Hash, Preset: h.Preset}
}

// HeadFromWire decodes a configuration's head.
func HeadFromWire(w *wire.Head) configurator.Head {
	return configurator.Head{Revision: w.GetRevision(), Hash: w.GetHash(), Preset: w.GetPreset()}
}

func addressToWire(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	raw, _ := a.MarshalBinary()
	return raw
}

func addressFromWire(raw []byte) (netip.AddrPort, error) {
	a := netip.AddrPort{}
	if len(raw) == 0 {
		return a, nil
	}
	return a, errors.Wrap(a.UnmarshalBinary(raw), "decode address")
}
