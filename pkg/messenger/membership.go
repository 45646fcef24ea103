package messenger

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	inputQueueSize  = 1024
	listInterval    = 15 * time.Second
	readBufferBytes = 2048
	listTimeout     = 5 * time.Second
)

// View is an immutable snapshot of the fleet as one VM knows it; Members holds every known VM, Self first.
type View struct {
	Self    detector.Member
	Members []detector.Member
}

// Live returns the ids of the live VMs of the region that accept work, or of all regions when region is empty.
func (v *View) Live(region string) []string {
	ids := []string{}
	for _, m := range v.Members {
		if m.State <= detector.Suspect && m.State != detector.Leaving && (region == "" || m.Region == region) {
			ids = append(ids, m.VM)
		}
	}
	return ids
}

// Allocators returns the VMs that may be the slot allocator of an endpoint of the region, in order of preference.
func (v *View) Allocators(endpoint, region string) []string {
	return hasher.Rank(endpoint, v.Live(region))
}

// Member returns the member with the id, or false when there is none.
func (v *View) Member(id string) (detector.Member, bool) {
	for _, m := range v.Members {
		if m.VM == id {
			return m, true
		}
	}
	return detector.Member{}, false
}

// Listener is notified of changes that the membership learns; its methods must not block.
type Listener interface {
	// MembersChanged is called when a newer view is available.
	MembersChanged(v *View)
	// HeadLearned is called when the peer vm has a newer configuration.
	HeadLearned(head configurator.Head, vm string)
	// EndpointLearned is called for an update about an endpoint.
	EndpointLearned(update detector.EndpointUpdate)
	// EndpointListed is called when the platform's list of VMs marks an endpoint as leaving.
	EndpointListed(endpoint string)
}

// Counters count datagrams and their bytes, datagrams that can't be decoded, and inputs dropped because the queue was full.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes, Malformed, InputsDropped atomic.Int64
}

// Membership runs a failure detector over UDP.
type Membership struct {
	conn           *net.UDPConn
	auth           *Authenticator
	store          storer.Store
	log            logrus.FieldLogger
	listener       Listener
	detector       *detector.Detector
	inputs         chan detector.Input
	view           atomic.Pointer[View]
	lastReceivedAt atomic.Int64
	stop           context.CancelFunc
	done           chan struct{}

	// Counters can be read from any goroutine.
	Counters Counters
}

// MembershipConfig holds the parameters of NewMembership.
type MembershipConfig struct {
	Self     detector.Member
	Auth     *Authenticator
	Store    storer.Store
	Log      logrus.FieldLogger
	Listener Listener
	Random   *rand.Rand
}

// NewMembership opens the UDP socket at the VM's own address and returns a Membership that is not started.
func NewMembership(cfg MembershipConfig) (*Membership, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Self.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	m := &Membership{
		conn:     conn,
		auth:     cfg.Auth,
		store:    cfg.Store,
		log:      cfg.Log,
		listener: cfg.Listener,
		detector: detector.New(detector.DefaultConfig(cfg.Self), cfg.Random),
		inputs:   make(chan detector.Input, inputQueueSize),
		done:     make(chan struct{}),
	}
	m.view.Store(&View{Self: cfg.Self, Members: m.detector.Members()})
	return m, nil
}

// Start begins probing and reading the platform's list of VMs.
func (m *Membership) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.runReader(ctx)
	go m.runLister(ctx)
	go m.loop(ctx)
}

// Stop ends probing and closes the socket.
func (m *Membership) Stop() {
	m.stop()
	_ = m.conn.Close()
	<-m.done
}

// View returns the newest view of the fleet.
func (m *Membership) View() *View {
	return m.view.Load()
}

// LastReceived returns when the last message of any peer was received, or the zero time when none was.
func (m *Membership) LastReceived() time.Time {
	n := m.lastReceivedAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Submit queues an input for the detector; when the queue is full the input is dropped, like a datagram that is lost.
func (m *Membership) Submit(in detector.Input) {
	select {
	case m.inputs <- in:
	default:
		m.Counters.InputsDropped.Add(1)
	}
}

func (m *Membership) loop(ctx context.Context) {
	defer close(m.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-m.inputs:
			m.handle(in)
		case <-timer.C:
			m.handle(detector.Woken{})
		}
		if wake, ok := m.detector.NextWake().Get(); ok {
			timer.Reset(time.Until(wake))
		}
	}
}

func (m *Membership) handle(in detector.Input) {
	isChanged := false
	for _, out := range m.detector.Handle(time.Now(), in) {
		switch out := out.(type) {
		case detector.Send:
			m.send(out)
		case detector.Changed:
			isChanged = true
			m.log.WithFields(logrus.Fields{"member": out.Member.VM, "state": out.Member.State.String()}).Info("member changed")
		case detector.HeadLearned:
			m.listener.HeadLearned(out.Head, out.VM)
		case detector.EndpointLearned:
			m.listener.EndpointLearned(out.Update)
		}
	}
	if at := m.detector.LastReceived(); !at.IsZero() {
		m.lastReceivedAt.Store(at.UnixNano())
	}
	members := m.detector.Members()
	if isChanged || members[0] != m.view.Load().Self {
		v := &View{Self: members[0], Members: members}
		m.view.Store(v)
		m.listener.MembersChanged(v)
	}
}

func (m *Membership) send(out detector.Send) {
	raw, err := packer.EncodeDatagram(out.Message)
	if err != nil || len(raw)+macBytes > packer.MaxDatagramBytes {
		m.log.WithError(err).WithField("bytes", len(raw)).Warn("datagram not sent: it can't be encoded or is too long")
		return
	}
	n, err := m.conn.WriteToUDPAddrPort(m.auth.Seal(raw), out.To)
	if err == nil {
		m.Counters.Sent.Add(1)
		m.Counters.SentBytes.Add(int64(n))
	}
}

func (m *Membership) runReader(ctx context.Context) {
	buf := make([]byte, readBufferBytes)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		m.Counters.Received.Add(1)
		m.Counters.ReceivedBytes.Add(int64(n))
		m.read(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (m *Membership) read(sealed []byte, from netip.AddrPort) {
	raw, ok := m.auth.Open(sealed)
	if !ok {
		return
	}
	msg, err := packer.DecodeDatagram(raw)
	if err != nil {
		m.Counters.Malformed.Add(1)
		return
	}
	m.Submit(detector.Received{From: from, Message: msg})
}

// runLister passes the platform's list of VMs to the detector periodically: one read is not enough, because the list lags and
// the store may be unavailable.
//
// It retries sooner while the list can't be read or no other member is known.
func (m *Membership) runLister(ctx context.Context) {
	for {
		wait := listInterval
		if isListed := m.list(ctx); !isListed || len(m.View().Members) == 1 {
			wait = time.Second
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (m *Membership) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := m.store.ListVMs(ctx)
	if err != nil {
		return false
	}
	members := make([]detector.Member, 0, len(vms))
	for _, vm := range vms {
		if vm.Role == storer.RoleEndpoint && vm.IsLeaving {
			m.listener.EndpointListed(vm.ID)
		}
		if vm.Role == storer.RoleEndpoint || vm.IsLeaving {
			continue
		}
		members = append(members, detector.Member{
			VM: vm.ID, Address: vm.Address, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
		})
	}
	m.Submit(detector.Listed{Members: members})
	return true
}
