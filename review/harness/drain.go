//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { plays["silent-connections"] = silentConnections }

const (
	drainTime = 2500 * time.Millisecond
	stable    = 4 * time.Second
	// lingerTime is how long a runner goes on serving after drainTime.
	lingerTime = 900 * time.Millisecond
)

// stream is one streamed request of a client.
type stream struct {
	id      string
	sent    time.Time
	status  int
	isWhole bool
}

// traffic sends streamed requests at a steady rate to the machines in turn, until ctx ends.
func (w *world) traffic(ctx context.Context, path string, every time.Duration, machines []*machine) *sync.WaitGroup {
	var sent sync.WaitGroup
	sent.Add(1)
	go func() {
		defer sent.Done()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			sent.Add(1)
			go func() {
				defer sent.Done()
				w.send(machines[n%len(machines)], path)
			}()
		}
	}()
	return &sent
}

// send sends one streamed request on a new connection.
func (w *world) send(m *machine, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := stream{id: newID(), sent: time.Now()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), nil)
	if err != nil {
		return
	}
	r.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": s.id, "X-Model": "m", "X-Token-Count": "450,40", "X-Deadline-Ms": "5000",
		"X-Prompt-Prefix": "5c1e07a2:100," + newID()[:8] + ":250",
	} {
		r.Header.Set(name, value)
	}
	res, err := freshClient().Do(r)
	if err == nil {
		s.status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		s.isWhole = err == nil && s.status == http.StatusOK
	}
	w.logf("client: request %s at %s: status %d, whole: %t, %v", s.id, m.name, s.status, s.isWhole, err)
}

// streamRoute returns a route for streams that may run once.
func streamRoute(prefix, service string) map[string]any {
	return map[string]any{
		"name": "r-stream", "host": host, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 300,
		"priority": 0, "service": service, "maxAttempts": 1, "sessionAffinity": true, "resumable": false, "gapTargetMs": 250,
	}
}

// silentConnections has the machines' connections to the store fall silent. When they are long in touch again, two of five
// runners are replaced, one after the other; their entries are removed at once. A runner that is gone must get no request later
// than drainMs after that.
func silentConnections(w *world) ([]string, error) {
	const replacementGap = 800 * time.Millisecond
	runs := &ledger{}
	m := model{events: 36, first: 50 * time.Millisecond, step: 20 * time.Millisecond}
	w.configure([]map[string]any{streamRoute("/lohu930/", "huvo11a")}, []map[string]any{engineService("huvo11a")})
	if err := w.startRunners(4, "huvo11a", m, runs); err != nil {
		return nil, err
	}
	if err := w.startMachines(3); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := w.traffic(ctx, "/lohu930/2f", 25*time.Millisecond, w.machines)
	time.Sleep(6 * time.Second)
	// A runner is added: all machines watch the list of runners anew.
	if _, err := w.startRunner(4, "huvo11a", m, runs); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if w.isTroubled {
		w.storeConns.Silence()
		w.logf("the open connections to the store are silent from now on; new ones work")
	}
	silent := time.Now()
	time.Sleep(stable + 50*time.Millisecond)
	gone := map[string]time.Time{}
	for n, old := range w.allRunners()[:2] {
		if _, err := w.startRunner(5+n, "huvo11a", m, runs); err != nil {
			return nil, err
		}
		gone[old.id] = w.leave(old)
		time.Sleep(replacementGap)
	}
	time.Sleep(6 * time.Second)
	cancel()
	sent.Wait()
	var breaks []string
	for id, at := range gone {
		late, cut := 0, 0
		for _, a := range runs.all() {
			if a.runner != id || a.begun.Sub(at) <= drainTime || a.begun.Sub(silent) <= stable {
				continue
			}
			outcome, _ := a.state()
			w.logf("late: request %s ran at %s %d ms after its entry was removed: %s", a.id, id, a.begun.Sub(at).Milliseconds(), outcome)
			late++
			if outcome == "cut off" {
				cut++
			}
		}
		if late > 0 {
			breaks = append(breaks, fmt.Sprintf(
				"DRAIN: %d requests reached runner %s later than %s after it was gone; %d of them were cut off by its end",
				late, id, drainTime, cut))
		}
	}
	return breaks, nil
}

// leave removes the runner's entry at once; the runner goes on serving for drainTime and lingerTime.
func (w *world) leave(r *runner) time.Time {
	w.store.Remove("servers", "", r.id)
	at := time.Now()
	w.logf("the entry of runner %s is removed", r.id)
	time.AfterFunc(drainTime+lingerTime, func() {
		w.logf("runner %s ends", r.id)
		r.crash()
	})
	return at
}
