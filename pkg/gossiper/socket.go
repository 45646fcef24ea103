package gossiper

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
)

// A datagram has a header of three bytes: its type, the version of the format, and flags.
const (
	headerBytes   = 3
	typeMembers   = 0x6d
	typePayload   = 0x70
	formatVersion = 1
	// flagHasStore says that the sender reaches the store.
	flagHasStore = 1
	// maxDatagramBytes is the size limit of a datagram, so that it fits into one packet on every link.
	maxDatagramBytes = 1400
	// receivePause is the pause after a failed read of the socket.
	receivePause = 10 * time.Millisecond
)

// Send sends a payload to a VM once; it is dropped if the VM is unknown or the payload too long.
func (g *Gossiper) Send(vm string, payload []byte) {
	g.mu.Lock()
	m, ok := g.states[vm]
	g.mu.Unlock()
	if !ok || len(payload)+headerBytes > maxDatagramBytes {
		return
	}
	g.write(m.Address, typePayload, payload)
}

// sendMessage sends a message of the failure detector.
func (g *Gossiper) sendMessage(out detector.Send) {
	raw, err := packer.EncodeDatagram(out.Message)
	if err != nil || len(raw)+headerBytes > maxDatagramBytes {
		g.log.WithError(err).WithField("bytes", len(raw)).Error("membership message can't be encoded or is too long; not sent")
		return
	}
	g.write(out.To, typeMembers, raw)
}

func (g *Gossiper) write(to netip.AddrPort, kind byte, body []byte) {
	if g.conn == nil {
		return
	}
	flags := byte(0)
	if !g.feed.IsLost() {
		flags = flagHasStore
	}
	datagram := append([]byte{kind, formatVersion, flags}, body...)
	// A lost datagram needs no resend: probes repeat, and the next payload carries all counts again.
	if _, err := g.conn.WriteToUDPAddrPort(datagram, to); err == nil {
		g.Counters.Sent.Add(1)
	}
}

func (g *Gossiper) runReceive() {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("datagram could not be received; reading the socket again in 10 ms")
			time.Sleep(receivePause)
			continue
		}
		g.Counters.Received.Add(1)
		if err := g.receive(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())); err != nil {
			g.Counters.Malformed.Add(1)
		}
	}
}

// receive handles a datagram; one that is not of this format is dropped without effect.
func (g *Gossiper) receive(datagram []byte, from netip.AddrPort) error {
	if len(datagram) < headerBytes || len(datagram) > maxDatagramBytes || datagram[1] != formatVersion {
		return errors.Errorf("datagram of %d bytes is of unknown format", len(datagram))
	}
	kind, hasStore, body := datagram[0], datagram[2]&flagHasStore != 0, datagram[headerBytes:]
	switch kind {
	case typePayload:
		if h := g.handler.Load(); h.Payload != nil {
			h.Payload(body)
		}
	case typeMembers:
		m, err := packer.DecodeDatagram(body)
		if err != nil {
			return err
		}
		if hasStore {
			g.mu.Lock()
			g.storeSeenAt = time.Now()
			g.mu.Unlock()
		}
		g.handle(time.Now(), detector.Received{From: from, Message: m})
	default:
		return errors.Errorf("datagram of unknown type %#x", kind)
	}
	return nil
}
