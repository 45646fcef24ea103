package assembler_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// partitionMode is what becomes of a VM's open connections to endpoints, and of its new ones, while it is partitioned.
type partitionMode int

const (
	// isLinked is no partition.
	isLinked partitionMode = iota
	// cutHang makes open connections and new ones hang. What was sent meanwhile arrives after the end, as TCP sends it again.
	cutHang
	// cutReset resets open connections, on both sides; new ones hang.
	cutReset
	// cutRefuse leaves open connections as they are; new ones are refused.
	cutRefuse
	// cutResetRefuse resets open connections; new ones are refused.
	cutResetRefuse
)

var partitionModes = []partitionMode{cutHang, cutReset, cutRefuse, cutResetRefuse}

func (m partitionMode) String() string {
	return [...]string{"linked", "hang", "reset", "refuse", "reset refuse"}[m]
}

// partition relays a VM's connections to endpoints, so that a test can cut them.
type partition struct {
	// isEndpoint reports whether the address is that of an endpoint.
	isEndpoint func(address string) bool
	// relay accepts the VM's side of each link.
	relay   net.Listener
	pairing sync.Mutex

	mu sync.Mutex
	// modes holds the mode for each endpoint's address, all that of those without one.
	modes map[string]partitionMode
	all   partitionMode
	// changed is closed at the next change of a mode.
	changed chan struct{}
	links   map[*link]bool
	carried map[string]bool
}

// link is one relayed connection.
type link struct {
	address string
	// near leads to the VM, far to the endpoint.
	near, far *net.TCPConn
}

func (f *testFleet) newPartition() *partition {
	relay, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(f.t, err)
	p := &partition{
		relay: relay, modes: map[string]partitionMode{}, changed: make(chan struct{}), links: map[*link]bool{},
		carried: map[string]bool{},
		isEndpoint: func(address string) bool {
			_, ok := f.addresses.Load(address)
			return ok
		},
	}
	f.t.Cleanup(p.close)
	return p
}

func (p *partition) decorate(pool *dialer.Pool) *dialer.Pool {
	pool.SetDial(p.dial)
	return pool
}

// cut partitions the VM from the endpoints at the addresses, or from all if there are none.
func (p *partition) cut(mode partitionMode, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(addresses) == 0 {
		p.all, p.modes = mode, map[string]partitionMode{}
	}
	for _, a := range addresses {
		p.modes[a] = mode
	}
	close(p.changed)
	p.changed = make(chan struct{})
	for l := range p.links {
		if p.resets(l.address) {
			l.reset()
		}
	}
}

func (vm *testVM) cut(mode partitionMode) { vm.partition.cut(mode) }

func (vm *testVM) heal() { vm.partition.cut(isLinked) }

// mode returns the mode for the address; the lock is held.
func (p *partition) mode(address string) partitionMode {
	if mode, ok := p.modes[address]; ok {
		return mode
	}
	return p.all
}

// resets reports whether open connections to the address are reset; the lock is held.
func (p *partition) resets(address string) bool {
	mode := p.mode(address)
	return mode == cutReset || mode == cutResetRefuse
}

func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !p.isEndpoint(address) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	p.mu.Lock()
	mode := p.mode(address)
	p.mu.Unlock()
	switch mode {
	case cutHang, cutReset:
		<-ctx.Done()
		err := os.ErrDeadlineExceeded
		if errors.Is(ctx.Err(), context.Canceled) {
			err = ctx.Err()
		}
		return nil, dialError(network, address, err)
	case cutRefuse, cutResetRefuse:
		return nil, dialError(network, address, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	far, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	vmSide, near, err := p.pair(ctx)
	if err != nil {
		_ = far.Close()
		return nil, err
	}
	l := &link{address: address, near: near.(*net.TCPConn), far: far.(*net.TCPConn)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resets(address) {
		l.reset()
		return vmSide, nil
	}
	p.links[l] = true
	go p.runLink(l)
	return vmSide, nil
}

func dialError(network, address string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Addr: net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address)), Err: err}
}

// pair returns the two sides of a new connection to the relay.
func (p *partition) pair(ctx context.Context) (dialed, accepted net.Conn, err error) {
	p.pairing.Lock()
	defer p.pairing.Unlock()
	if dialed, err = (&net.Dialer{}).DialContext(ctx, "tcp4", p.relay.Addr().String()); err != nil {
		return nil, nil, err
	}
	for {
		if accepted, err = p.relay.Accept(); err != nil {
			_ = dialed.Close()
			return nil, nil, err
		}
		if accepted.RemoteAddr().String() == dialed.LocalAddr().String() {
			return dialed, accepted, nil
		}
		// Its dial was given up once the kernel had established it.
		_ = accepted.Close()
	}
}

func (l *link) reset() {
	for _, c := range []*net.TCPConn{l.near, l.far} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *partition) runLink(l *link) {
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(l, l.far, l.near, p.record()) })
	wg.Go(func() { p.forward(l, l.near, l.far, func([]byte) {}) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	_ = l.near.Close()
	_ = l.far.Close()
}

// forward sends on what comes from a side of the link, also its end or reset, and holds it while the link hangs.
func (p *partition) forward(l *link, to, from *net.TCPConn, observe func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.awaitReach(l.address)
		observe(buf[:n])
		if _, failed := to.Write(buf[:n]); failed != nil {
			_ = from.SetLinger(0)
			_ = from.Close()
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			l.reset()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// awaitReach waits until connections to the address don't hang.
func (p *partition) awaitReach(address string) {
	for {
		p.mu.Lock()
		mode, changed := p.mode(address), p.changed
		p.mu.Unlock()
		if mode != cutHang {
			return
		}
		<-changed
	}
}

// idHeader precedes the id of a request in its head as the VM writes it.
const idHeader = "\r\nX-Request-Id: "

// record returns a function that records the ids of the requests in the bytes of one connection that reach the endpoint.
func (p *partition) record() func([]byte) {
	rest := []byte{}
	return func(b []byte) {
		rest = append(rest, b...)
		for {
			_, after, ok := bytes.Cut(rest, []byte(idHeader))
			id, next, isWhole := bytes.Cut(after, []byte("\r\n"))
			if !ok || !isWhole {
				break
			}
			p.mu.Lock()
			p.carried[string(id)] = true
			p.mu.Unlock()
			rest = next
		}
		if !bytes.Contains(rest, []byte(idHeader)) {
			rest = bytes.Clone(rest[max(0, len(rest)-len(idHeader)):])
		}
	}
}

// close ends all links, and the partition with them.
func (p *partition) close() {
	p.cut(isLinked)
	_ = p.relay.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// servedLocally returns how many of the requests the VM itself sent to an endpoint.
func servedLocally(vm *testVM, ids ...string) int {
	vm.partition.mu.Lock()
	defer vm.partition.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !vm.partition.carried[id] }))
}

// newPartitionableFleet starts a fleet of n VMs with partitions, and as many endpoints of each of the two services.
func newPartitionableFleet(t *testing.T, n, endpoints int) *testFleet {
	t.Helper()
	f := newFleet(t, 0)
	f.isPartitionable = true
	for _, service := range []string{"llm", "app"} {
		for i := range endpoints - 2 {
			f.addEndpoint(fmt.Sprintf("i-%s-%d", service, i+3), service)
		}
	}
	for _, e := range f.endpoints {
		e.Step, e.Work = 20*time.Millisecond, 20*time.Millisecond
	}
	for range n {
		f.addVM()
	}
	f.awaitEndpoints()
	f.awaitPeers()
	// The VMs stop before this would end by itself.
	t.Cleanup(func() {
		for _, vm := range f.vms {
			vm.heal()
		}
	})
	return f
}

// try is a client's first try of a request, and its answer.
type try struct {
	answer

	vm       *testVM
	id, path string
	// at is when it was sent, took how long it lasted.
	at   time.Time
	took time.Duration
}

// isServed reports whether the answer is the whole one.
func (r try) isServed() bool {
	if r.err != nil || r.status != http.StatusOK {
		return false
	}
	if r.isStream() {
		return r.body == standin.CompleteStream(r.id, 6)
	}
	return r.body == "answer to "+r.id
}

func (r try) isStream() bool { return r.path == "/draft/1" || r.path == "/note/1" }

// mayRepeat reports whether the request may run more than once.
func (r try) mayRepeat() bool { return r.path == "/note/1" || r.path == "/status/1" }

// onlinePaths are paths of all kinds of online requests.
var onlinePaths = []string{"/draft/1", "/note/1", "/status/1", "/book/1"}

// tryDeadline is how long clients wait.
const tryDeadline = 3 * time.Second

// try sends a request as a client does that leaves at its deadline.
func (f *testFleet) try(vm *testVM, path string) try {
	r := try{vm: vm, id: newID("t"), path: path, at: time.Now()}
	opts := []callOption{withHeader("X-Deadline-Ms", fmt.Sprint(tryDeadline.Milliseconds()))}
	if r.isStream() {
		opts = append(opts, withHeader("X-Token-Count", "450,250"), withHeader("X-Model", "m"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryDeadline+time.Second)
	defer cancel()
	r.answer = f.call(ctx, vm, http.MethodPost, path, r.id, "body of "+r.id, opts...)
	r.took = time.Since(r.at)
	return r
}

// tries are sent at a fixed rate, whatever becomes of those before.
type tries struct {
	mu   sync.Mutex
	list []try
	stop chan struct{}
	wg   sync.WaitGroup
}

// startTries sends a request of each kind to each VM at the interval.
func (f *testFleet) startTries(every time.Duration) *tries {
	s := &tries{stop: make(chan struct{})}
	for _, vm := range f.vms {
		for _, path := range onlinePaths {
			s.wg.Go(func() { s.run(f, vm, path, every) })
		}
	}
	return s
}

func (s *tries) run(f *testFleet, vm *testVM, path string, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.wg.Go(func() {
			r := f.try(vm, path)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.list = append(s.list, r)
		})
	}
}

// end waits for the last answers and returns all tries.
func (s *tries) end() []try {
	close(s.stop)
	s.wg.Wait()
	return s.list
}

// within returns the tries that were sent to the VMs in the time from and before to.
func within(list []try, from, to time.Time, vms ...*testVM) []try {
	return slices.DeleteFunc(slices.Clone(list), func(r try) bool {
		return r.at.Before(from) || !r.at.Before(to) || !slices.Contains(vms, r.vm)
	})
}

// shareServed returns the share of the tries that were served, and the number of the others.
func shareServed(list []try) (share float64, failed int) {
	for _, r := range list {
		if !r.isServed() {
			failed++
		}
	}
	return 1 - float64(failed)/float64(max(1, len(list))), failed
}

// outcomes counts the answers to tries by path and outcome, for the log.
func outcomes(list []try) map[string]int {
	counts := map[string]int{}
	for _, r := range list {
		outcome := fmt.Sprint(r.status)
		switch {
		case r.isServed():
			outcome = "served"
		case r.err != nil && r.status == 0:
			outcome = "no answer"
		case r.err != nil:
			outcome = "cut"
		}
		counts[r.path+" "+outcome]++
	}
	return counts
}

// TestPartitionCutsConnections checks the partition that the tests of partitioned VMs use.
func TestPartitionCutsConnections(t *testing.T) {
	t.Parallel()
	for _, mode := range partitionModes {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			f := &testFleet{t: t, store: standin.NewStore()}
			e := f.addEndpoint("i-app-1", "app")
			address := netip.MustParseAddrPort(e.Entry("ready")["address"].(string))
			p := f.newPartition()
			pool := p.decorate(dialer.NewPool(func(string) int { return 8 }))
			exchange := func(c *dialer.Conn, id string) error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				x, err := pool.Do(ctx, c, dialer.Request{
					Method: http.MethodPost, Target: "/", Host: testHost, Header: http.Header{"X-Request-Id": {id}},
					IDHeader: "X-Request-Id", ID: id,
				})
				if err != nil {
					return err
				}
				x.Close()
				return nil
			}
			conns := []*dialer.Conn{}
			for range 3 {
				c, err := pool.Open(t.Context(), e.ID, address)
				require.NoError(t, err)
				conns = append(conns, c)
			}
			require.NoError(t, exchange(conns[0], "before"))

			p.cut(mode)
			err := exchange(conns[1], "open")
			at := time.Now()
			_, dialErr := pool.Open(t.Context(), e.ID, address)
			require.Error(t, dialErr)
			switch mode {
			case cutHang:
				require.ErrorIs(t, err, context.DeadlineExceeded)
				assert.Empty(t, f.runsOf("open"))
			case cutReset, cutResetRefuse:
				assert.True(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
				assert.Empty(t, f.runsOf("open"))
			case cutRefuse:
				require.NoError(t, err)
			}
			switch mode {
			case cutHang, cutReset:
				require.ErrorIs(t, dialErr, os.ErrDeadlineExceeded)
				assert.GreaterOrEqual(t, time.Since(at), dialer.ConnectTimeout)
			default:
				require.ErrorIs(t, dialErr, syscall.ECONNREFUSED)
			}
			answered := make(chan error, 1)
			go func() { answered <- exchange(conns[2], "held") }()
			time.Sleep(100 * time.Millisecond)

			p.cut(isLinked)
			err = <-answered
			assert.Equal(t, mode == cutReset || mode == cutResetRefuse, err != nil, "%v", err)
			c, err := pool.Open(t.Context(), e.ID, address)
			require.NoError(t, err)
			require.NoError(t, exchange(c, "after"))
			vm := &testVM{partition: p}
			assert.Equal(t, 2, servedLocally(vm, "before", "after", "other"))
			if mode == cutHang {
				// The endpoint may see the end of the connection before it begins to run the request.
				require.Eventually(t, func() bool { return servedLocally(vm, "open") == 1 }, maxWait, time.Millisecond,
					"what was sent before the connection was closed does not arrive")
			}
		})
	}
}

// TestSilentEndpointPartitionsNobody has one endpoint of each service fall silent for 1.5 s. It guards against VMs that take
// themselves for partitioned then: each sends its requests itself, and all are served.
func TestSilentEndpointPartitionsNobody(t *testing.T) {
	t.Parallel()
	f := newPartitionableFleet(t, 3, 3)
	silent := []string{}
	for _, id := range []string{"i-llm-1", "i-app-1"} {
		silent = append(silent, f.endpoint(id).Entry("ready")["address"].(string))
	}
	s := f.startTries(200 * time.Millisecond)
	time.Sleep(time.Second)
	for _, vm := range f.vms {
		vm.partition.cut(cutHang, silent...)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, vm := range f.vms {
		vm.heal()
	}
	time.Sleep(2 * time.Second)
	list := s.end()
	t.Log(outcomes(list))
	for _, r := range list {
		assert.True(t, r.isServed(), "%s at %s: %d %v %s", r.path, r.vm.name, r.status, r.err, r.body)
		for _, vm := range f.vms {
			if vm != r.vm {
				assert.Zero(t, servedLocally(vm, r.id), "%s sent a request of %s", vm.name, r.vm.name)
			}
		}
	}
}

// forEachMode runs the test for each mode of a partition.
func forEachMode(t *testing.T, test func(t *testing.T, mode partitionMode)) {
	for _, mode := range partitionModes {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			test(t, mode)
		})
	}
}

// requireRunOnce checks that the tries ran as often as their kinds and answers allow.
func (f *testFleet) requireRunOnce(t *testing.T, list []try) {
	runs := map[string]int{}
	for _, run := range f.allRuns() {
		runs[run.ID]++
	}
	for _, r := range list {
		what := fmt.Sprintf("%s at %s: %d %v %q", r.path, r.vm.name, r.status, r.err, r.body)
		if !r.mayRepeat() {
			assert.LessOrEqual(t, runs[r.id], 1, "ran more than once: %s", what)
		}
		if !r.mayRepeat() && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			assert.Zero(t, runs[r.id], "the answer promises that it never runs: %s", what)
		}
		if r.status != http.StatusOK {
			continue
		}
		if r.err == nil {
			assert.True(t, r.isServed(), "the answer is not the whole one: %s", what)
		} else if r.isStream() {
			whole := standin.CompleteStream(r.id, 6)
			assert.True(t, strings.HasPrefix(whole, r.body), "the stream has pieces of other runs: %s", what)
		}
	}
}

// TestPartitionedVMRunsNothingTwice guards against requests that are handed over though they were sent, and run once more when
// the links are back.
func TestPartitionedVMRunsNothingTwice(t *testing.T) {
	t.Parallel()
	forEachMode(t, func(t *testing.T, mode partitionMode) {
		f := newPartitionableFleet(t, 3, 4)
		for _, e := range f.endpoints {
			e.Step, e.Work = 80*time.Millisecond, 300*time.Millisecond
		}
		s := f.startTries(200 * time.Millisecond)
		time.Sleep(time.Second)
		// The second cut begins while the VM takes its load back.
		for _, d := range []time.Duration{2 * time.Second, 700 * time.Millisecond} {
			for _, vm := range f.vms[:2] {
				vm.cut(mode)
			}
			time.Sleep(d)
			for _, vm := range f.vms[:2] {
				vm.heal()
			}
			time.Sleep(time.Second)
		}
		list := s.end()
		time.Sleep(time.Second)
		t.Log(outcomes(list))
		f.requireRunOnce(t, list)
		share, _ := shareServed(within(list, time.Time{}, time.Now(), f.vms[2]))
		assert.GreaterOrEqual(t, share, 2./3, "share served at the VM that is not cut off")
	})
}

// TestAllVMsPartitioned cuts all VMs off. It guards against answers that promise too much, requests without an answer, and VMs
// that don't recover.
func TestAllVMsPartitioned(t *testing.T) {
	t.Parallel()
	forEachMode(t, func(t *testing.T, mode partitionMode) {
		f := newPartitionableFleet(t, 3, 3)
		s := f.startTries(200 * time.Millisecond)
		time.Sleep(time.Second)
		for _, vm := range f.vms {
			vm.cut(mode)
		}
		time.Sleep(8 * time.Second)
		healedAt := time.Now()
		for _, vm := range f.vms {
			vm.heal()
		}
		time.Sleep(timeToReact + 3*time.Second)
		list := s.end()
		t.Log(outcomes(list))
		f.requireRunOnce(t, list)
		for _, r := range list {
			assert.NotZero(t, r.status, "%s at %s ends without an answer after %s: %v", r.path, r.vm.name, r.took, r.err)
		}
		after := within(list, healedAt.Add(timeToReact), time.Now(), f.vms...)
		require.NotEmpty(t, after)
		_, failed := shareServed(after)
		assert.Zero(t, failed, "requests that fail later than %s after the links are back: %v", timeToReact, outcomes(after))
	})
}
