package prove

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

func chatBody(prompt string, tokens int, isStream bool) string {
	return fmt.Sprintf(`{"model":"card-writer","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		tokens, isStream, prompt)
}

// wantText returns the text that every stand-in engine answers to the prompt.
func wantText(prompt string, tokens int) string {
	text := encoder.PromptText(encoder.ChatRequest{Messages: []encoder.Message{{Role: "user", Content: prompt}}})
	blocks := append(encoder.PromptBlocks(text), xxhash.Sum64String(text))
	b := strings.Builder{}
	for i := range tokens {
		b.WriteString(emulator.AnswerToken(blocks, i))
	}
	return b.String()
}

// readStream returns the text of a streamed answer and whether its end marker arrived.
func readStream(body string) (string, bool) {
	b, isDone := strings.Builder{}, false
	_ = encoder.ReadEvents(strings.NewReader(body), func(ev encoder.Event) bool {
		isDone = isDone || ev.IsDone
		for _, c := range ev.Chunk.Choices {
			b.WriteString(c.Delta.Content)
		}
		return true
	})
	return b.String(), isDone
}

func (f *fleet) chat(v *vm, prompt string, tokens int) answer {
	body := chatBody(prompt, tokens, true)
	return f.do(v, call{method: http.MethodPost, path: "/v1/chat/completions", key: counterKey, body: body})
}

// requireComplete checks that the streamed answer is complete and is the one to the prompt.
func requireComplete(t *testing.T, a answer, prompt string, tokens int) {
	t.Helper()
	require.NoError(t, a.err)
	text, isDone := readStream(a.body)
	assert.Equal(t, http.StatusOK, a.status, a.body)
	assert.True(t, isDone, "no end marker: %s", a.body[max(0, len(a.body)-400):])
	assert.Equal(t, wantText(prompt, tokens), text)
}

// TestEachCallerGetsItsOwnAnswer sends many requests of one account concurrently through every VM.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3, engines: 2})
	wg := sync.WaitGroup{}
	for i := range 150 {
		wg.Go(func() {
			prompt := fmt.Sprintf("Card number %d", i)
			requireComplete(t, f.chat(f.vms[i%3], prompt, 5+i%20), prompt, 5+i%20)
		})
	}
	wg.Wait()
}

// TestBrokenStreamIsResumed breaks the connection to the engine in the middle of an answer.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 1, engines: 1})
	f.engineFaults(0, emulator.EngineFaults{CutAfterTokens: 10})
	requireComplete(t, f.chat(f.vms[0], "A wreath", 30), "A wreath", 30)
	assert.Equal(t, 1, f.executions(0), "resumed, not run again")
}

// TestTruncatedAnswerIsNotReportedComplete has the engine truncate an answer and end it as HTTP ends a complete one.
func TestTruncatedAnswerIsNotReportedComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 1, engines: 1})
	f.engineFaults(0, emulator.EngineFaults{CutAfterTokens: 10, IsCutClean: true})
	requireComplete(t, f.chat(f.vms[0], "A wreath", 30), "A wreath", 30)
}

// TestKilledEngineIsContinuedElsewhere kills an engine in the middle of an answer; another one continues it.
func TestKilledEngineIsContinuedElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 2})
	got := make(chan answer, 1)
	go func() { got <- f.chat(f.vms[0], "A long card", 100) }()
	running := -1
	f.await("an engine runs the request", func() bool {
		for i := range f.engines {
			if f.executions(i) > 0 {
				running = i
			}
		}
		return running >= 0
	})
	f.procs[fmt.Sprintf("engine-%d", running+1)].kill()
	requireComplete(t, <-got, "A long card", 100)
}

// TestRefusalIsTrue compares the outcome stated to callers with what the engine ran.
func TestRefusalIsTrue(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 1, engines: 1})
	f.engineFaults(0, emulator.EngineFaults{IsRefusing: true})
	a := f.chat(f.vms[0], "A card", 5)
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "notRun", a.outcome)
	assert.NotEmpty(t, a.retry, "a refusal says when to come back")
	assert.Zero(t, f.executions(0))

	f.engineFaults(0, emulator.EngineFaults{})
	a = f.do(f.vms[0], call{
		method: http.MethodPost, path: "/v1/chat/completions", key: counterKey,
		body: chatBody("A card "+emulator.PoisonMark, 5, false),
	})
	assert.Equal(t, http.StatusBadGateway, a.status, a.body)
	assert.Equal(t, "unknown", a.outcome, "bytes were sent, so the request may have run")

	f.procs["engine-1"].kill()
	a = f.chat(f.vms[0], "A card", 5)
	assert.Equal(t, "notRun", a.outcome, "the connection is refused, so no byte was sent")
	assert.NotEmpty(t, a.retry)
}

// TestPlannedStopCompletesStreams stops a VM as planned while it serves many streams; all of them complete.
func TestPlannedStopCompletesStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 2})
	wg := sync.WaitGroup{}
	for i := range 20 {
		wg.Go(func() {
			prompt := fmt.Sprintf("Long card %d", i)
			requireComplete(t, f.chat(f.vms[0], prompt, 300), prompt, 300)
		})
	}
	f.await("the streams run", func() bool { return f.executions(0)+f.executions(1) >= 20 })
	f.vms[0].signal(syscall.SIGTERM)
	f.await("the VM answers /readyz that it is not ready", func() bool {
		a := f.do(f.vms[0], call{method: http.MethodGet, path: "/readyz"})
		return a.err != nil || a.status == http.StatusServiceUnavailable
	})
	wg.Wait()
	<-f.vms[0].done
	assert.True(t, f.vms[0].cmd.ProcessState.Success(), "exit %v", f.vms[0].cmd.ProcessState)
}

// TestLeavingEndpointGetsNoRequests marks an endpoint as leaving through one VM; no VM may then send it a request.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3, engines: 2})
	out, err := f.cli(f.vms[0], operatorKey, "endpoint", "leave", "engine-1")
	require.NoError(t, err, out)
	send := func(from int) {
		for i := range 30 {
			prompt := fmt.Sprintf("Card %d %d", from, i)
			requireComplete(t, f.chat(f.vms[i%3], prompt, 2), prompt, 2)
		}
	}
	f.await("every VM observes that the endpoint is leaving", func() bool {
		before := f.executions(0)
		send(before)
		return f.executions(0) == before
	})
	before := f.executions(0)
	send(1000)
	assert.Equal(t, before, f.executions(0))
}
