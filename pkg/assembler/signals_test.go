package assembler_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/assembler"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// daemonVariable makes the test program run as the daemon.
const daemonVariable = "DOGWOODLEDGE_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(assembler.Main([]string{"platform"}))
	}
	os.Exit(m.Run())
}

// testDaemon is a daemon that runs as a process.
type testDaemon struct {
	t    *testing.T
	cmd  *exec.Cmd
	log  *bufio.Scanner
	addr string
	// settings is the settings file; the first read of it waits for text until begin is called.
	settings, text string
}

// newDaemon starts a daemon, and returns once it waits for its settings.
func (f *testFleet) newDaemon(name string) *testDaemon {
	f.t.Helper()
	s := f.settings(name)
	d := &testDaemon{
		t: f.t, cmd: exec.Command(os.Args[0]), addr: s.Callers.String(), settings: filepath.Join(f.t.TempDir(), "settings.toml"),
		text: fmt.Sprintf(`nodeName = %q
ip = %q
zone = "syd-a"
region = "syd"
internalPorts = [%d, %d]
[zones]
syd-a = "syd"
[listen]
front = %q
ready = %q
[limits]
memoryMb = 512
maxFds = 4096
[bounds]
graceS = %d
[platform]
address = %q
rowBytes = 65536
`, name, s.IP, s.FirstPort, s.LastPort, s.Callers, s.Ready, s.Grace/time.Second, s.Store),
	}
	require.NoError(f.t, syscall.Mkfifo(d.settings, 0o600))
	d.cmd.Env = append(os.Environ(), daemonVariable+"=1", platform.SettingsVariable+"="+d.settings, "GORACE=atexit_sleep_ms=0")
	d.cmd.Stderr = os.Stderr
	out, err := d.cmd.StdoutPipe()
	require.NoError(f.t, err)
	d.log = bufio.NewScanner(out)
	require.NoError(f.t, d.cmd.Start())
	f.t.Cleanup(func() { _ = d.cmd.Process.Kill() })
	return d
}

// begin waits until the daemon reads its settings, sends it the signals and lets it read on.
func (d *testDaemon) begin(signals ...syscall.Signal) {
	d.t.Helper()
	var pipe *os.File
	require.Eventually(d.t, func() bool {
		var err error
		// This fails while no reader has opened the pipe.
		pipe, err = os.OpenFile(d.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, maxWait, time.Millisecond, "the daemon doesn't read its settings")
	for _, s := range signals {
		d.signal(s)
	}
	// Later reads must not wait.
	file := d.settings + ".new"
	require.NoError(d.t, os.WriteFile(file, []byte(d.text), 0o600))
	require.NoError(d.t, os.Rename(file, d.settings))
	_, _ = pipe.WriteString(d.text)
	_ = pipe.Close()
}

func (d *testDaemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// awaitLine waits until the daemon has logged the message.
func (d *testDaemon) awaitLine(message string) {
	d.t.Helper()
	for d.log.Scan() {
		if strings.Contains(d.log.Text(), `"msg":"`+message+`"`) {
			return
		}
	}
	require.Fail(d.t, "the daemon ended without the log line "+message, d.cmd.Wait())
}

// TestGracePeriodBeginsWithTheSignal stops a daemon that still starts, since the store is silent to it at first, and kills it
// when the grace period is over. A request whose endpoint is silent must be answered before that.
func TestGracePeriodBeginsWithTheSignal(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.grace = 3 * time.Second
	for _, r := range f.routes {
		r["timeoutMs"] = 30000
	}
	f.configure()
	for _, e := range f.endpoints {
		e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
	}
	var reads atomic.Int64
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		if r.URL.Path == "/rows-get" && r.URL.Query().Get("table") == gossiper.VMTable && reads.Add(1) == 1 {
			return standin.Silent
		}
		return standin.NoFault
	})
	d := f.newDaemon("front-9")
	d.begin(syscall.SIGTERM)
	kill := time.AfterFunc(f.grace, func() { _ = d.cmd.Process.Kill() })
	defer kill.Stop()
	d.awaitLine("started")
	id := newID("early")
	a := f.call(t.Context(), &testVM{base: "http://" + d.addr}, http.MethodPost, "/book/1", id, "prompt",
		withHeader("X-Deadline-Ms", "20000"))
	assert.NoError(t, a.err, "the request ends without an answer")
	assert.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
	assert.NotEmpty(t, f.runsOf(id))
}

// TestSignalsAtAnyTimeEndNoDaemonEarly sends signals to a daemon before it has read its settings, and from its last log line
// until its end. SIGHUP must never end it, and SIGTERM must always end it by a planned stop.
func TestSignalsAtAnyTimeEndNoDaemonEarly(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		first, last []syscall.Signal
	}{
		{"SIGHUP at the start", []syscall.Signal{syscall.SIGHUP}, nil},
		{"SIGTERM at the start", []syscall.Signal{syscall.SIGTERM}, nil},
		{"SIGHUP at the end", nil, []syscall.Signal{syscall.SIGHUP}},
		{"SIGTERM at the end", nil, []syscall.Signal{syscall.SIGTERM}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			d := f.newDaemon("front-9")
			d.begin(c.first...)
			d.awaitLine("started")
			// An open connection makes the last step of the stop last.
			conn, err := net.Dial("tcp4", d.addr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			if len(c.first) == 0 || c.first[0] != syscall.SIGTERM {
				d.signal(syscall.SIGTERM)
			}
			d.awaitLine("leaving")
			d.awaitLine("stopped")
			ended := make(chan error, 1)
			go func() { ended <- d.cmd.Wait() }()
			for {
				for _, s := range c.last {
					d.signal(s)
				}
				select {
				case err := <-ended:
					assert.NoError(t, err)
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}
