//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	plays["removed-route"] = removedRoute
	plays["narrower-route"] = narrowerRoute
	plays["extra-answer"] = extraAnswer
	plays["crashes"] = crashes
}

// removedRoute removes the route of a batch job whose results have been read: they must stay readable.
func removedRoute(w *world) ([]string, error) {
	runs := &ledger{}
	m := model{events: 20, first: 50 * time.Millisecond, step: 10 * time.Millisecond}
	services := []map[string]any{engineService("huvo11a"), plainService("wuno96b")}
	status := safeRoute("r-status", "/puxa403/", "wuno96b")
	w.configure([]map[string]any{batchRoute("/pule252/", "huvo11a"), status}, services)
	if err := w.startRunners(2, "huvo11a", m, runs); err != nil {
		return nil, err
	}
	if _, err := w.startRunner(40, "wuno96b", m, runs); err != nil {
		return nil, err
	}
	if err := w.startMachines(3); err != nil {
		return nil, err
	}
	id := newID()
	var items []item
	for range 10 {
		items = append(items, newItem("/pule252/3/"+newID()[:4], "9c2e41"))
	}
	if err := w.submit(id, "/pule252/"+id[:6], items); err != nil {
		return nil, err
	}
	before, err := w.await(id, 20*time.Second)
	if err != nil || len(before) != len(items) {
		return nil, fmt.Errorf("%d of %d items listed before the disruption: %w", len(before), len(items), err)
	}
	w.logf("all %d results were read", len(before))
	// The last change was more than stableMs ago.
	time.Sleep(5 * time.Second)
	if w.isTroubled {
		w.configure([]map[string]any{status}, services)
	}
	time.Sleep(6 * time.Second)
	var breaks []string
	for _, m := range w.machines {
		if _, status, err := w.read(m, id, 0); err == nil && (status == http.StatusNotFound || status == http.StatusGone) {
			breaks = append(breaks, fmt.Sprintf("LOST: %s answers %d for batch job %s, whose results had been read", m.name, status, id))
		}
	}
	return breaks, nil
}

// narrowerRoute adds a route of another kind below the path of a batch route: the items that wait must still be done.
func narrowerRoute(w *world) ([]string, error) {
	runs := &ledger{}
	m := model{events: 60, first: 50 * time.Millisecond, step: 50 * time.Millisecond}
	services := []map[string]any{engineService("huvo11a"), plainService("wuno96b")}
	status := safeRoute("r-status", "/puxa403/", "wuno96b")
	batch := batchRoute("/pule252/", "huvo11a")
	w.configure([]map[string]any{batch, status}, services)
	if err := w.startRunners(2, "huvo11a", m, runs); err != nil {
		return nil, err
	}
	if _, err := w.startRunner(40, "wuno96b", m, runs); err != nil {
		return nil, err
	}
	if err := w.startMachines(3); err != nil {
		return nil, err
	}
	id := newID()
	var items []item
	for range 60 {
		items = append(items, newItem("/pule252/3/"+newID()[:4], "9c2e41"))
	}
	if err := w.submit(id, "/pule252/"+id[:6], items); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	changed := time.Now()
	if w.isTroubled {
		w.configure([]map[string]any{batch, status, safeRoute("r-added", "/pule252/3/", "wuno96b")}, services)
	}
	found, err := w.await(id, 45*time.Second)
	if err != nil {
		return nil, err
	}
	w.logf("%d of %d items listed %s after the change", len(found), len(items), time.Since(changed).Round(time.Millisecond))
	return abandonedTooEarly(w, id, items, found, runs), nil
}

// abandonedTooEarly returns the items that are abandoned without a reason that the pages name: 422, three answers of 500,
// maxWaitS, the end of the batch job or of its route.
func abandonedTooEarly(w *world, job string, items []item, found map[string]listed, runs *ledger) []string {
	var breaks []string
	for _, i := range items {
		if found[i.ID].State != "abandoned" {
			continue
		}
		failed := 0
		for _, a := range runs.of(i.ID) {
			if outcome, _ := a.state(); outcome == "500" {
				failed++
			}
		}
		if failed < 3 {
			breaks = append(breaks, fmt.Sprintf(
				"MIXED: item %s of batch job %s is abandoned after %d runs, %d of them failed, %.1f s after the start of the play",
				i.ID, job, len(runs.of(i.ID)), failed, time.Since(w.start).Seconds()))
		}
	}
	return breaks
}

// extraAnswer has one of three runners send now and then an answer a second time, late. It is the answer of 500 to the first run
// of a batch item, and comes where the answer to the item's next run is expected. The second and the fourth run of each item
// succeed, the others fail. Other requests keep the share of such answers under the limit.
func extraAnswer(w *world) ([]string, error) {
	const (
		playFor = 40 * time.Second
		// lasts and share are for_s and x of the disruption, which comes each period: of the runner's answers in the time lasts at most
		// this share comes twice.
		lasts, period, share = 5 * time.Second, 9 * time.Second, 0.03
	)
	runs := &ledger{}
	began := time.Now().Add(lasts)
	var mu sync.Mutex
	var extras []time.Time
	m := model{
		events: 40, first: 150 * time.Millisecond, step: 15 * time.Millisecond, shortPath: "/lohu930/", shortEvents: 2,
		fails: func(a *attempt) bool { return strings.HasPrefix(a.path, "/pule252/") && a.n%2 == 1 },
		sendsExtra: func(a *attempt) bool {
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			if !w.isTroubled || a.n != 1 || now.Before(began) || now.Sub(began)%period > lasts {
				return false
			}
			lately := 1
			for _, at := range extras {
				if now.Sub(at) < lasts {
					lately++
				}
			}
			if float64(lately) > share*float64(runs.answeredBy(a.runner, lasts)) {
				return false
			}
			extras = append(extras, now)
			return true
		},
	}
	services := []map[string]any{engineService("huvo11a"), plainService("wuno96b")}
	w.configure([]map[string]any{
		batchRoute("/pule252/", "huvo11a"), streamRoute("/lohu930/", "huvo11a"), safeRoute("r-status", "/puxa403/", "wuno96b"),
	}, services)
	if err := w.startRunners(1, "huvo11a", m, runs); err != nil {
		return nil, err
	}
	for n := range 2 {
		if _, err := w.startRunner(40+n, "wuno96b", m, runs); err != nil {
			return nil, err
		}
	}
	if err := w.startMachines(3); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := w.traffic(ctx, "/lohu930/2f", 50*time.Millisecond, w.machines[1:])
	time.Sleep(time.Until(began.Add(-time.Second)))
	var breaks []string
	for len(breaks) == 0 && time.Since(began) < playFor {
		id, one := newID(), newItem("/pule252/3/"+newID()[:4], "9c2e41")
		if err := w.submitAt(w.machines[:1], id, "/pule252/"+id[:6], []item{one}); err != nil {
			return nil, err
		}
		found, err := w.await(id, 10*time.Second)
		if err != nil {
			return nil, err
		}
		breaks = append(breaks, abandonedTooEarly(w, id, []item{one}, found, runs)...)
	}
	cancel()
	sent.Wait()
	w.logf("%d answers were to come twice", len(extras))
	return breaks, nil
}

func (w *world) startRunners(n int, service string, m model, l *ledger) error {
	for i := range n {
		if _, err := w.startRunner(i, service, m, l); err != nil {
			return err
		}
	}
	return nil
}

// crashes has runners crash and come back, one after the other, while items run that share a part of their prompts. Afterwards
// all is calm, and the items have to be done.
func crashes(w *world) ([]string, error) {
	const (
		// One of six is the share of the disruption.
		runners = 6
		count   = 14
		downFor = 900 * time.Millisecond
		// calmFor is longer than finishS and than the time for which failed runs excuse.
		calmFor, failedExcuse, noneFor = 26 * time.Second, 20 * time.Second, 5 * time.Second
	)
	runs := &ledger{}
	m := model{events: 394, first: 50 * time.Millisecond, step: 20 * time.Millisecond}
	w.configure([]map[string]any{batchRoute("/pule252/", "huvo11a")}, []map[string]any{engineService("huvo11a")})
	if err := w.startRunners(runners, "huvo11a", m, runs); err != nil {
		return nil, err
	}
	places := w.allRunners()
	if err := w.startMachines(3); err != nil {
		return nil, err
	}
	id := newID()
	var items []item
	for range 24 {
		items = append(items, newItem("/pule252/3/"+newID()[:4], "9c2e41"))
	}
	if err := w.submit(id, "/pule252/"+id[:6], items); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	for n := range count {
		if !w.isTroubled {
			time.Sleep(downFor)
			continue
		}
		i := n % runners
		places[i].crashAndFade()
		time.Sleep(downFor)
		r, err := w.startRunner(i, "huvo11a", m, runs)
		if err != nil {
			return nil, err
		}
		places[i] = r
	}
	w.logf("all is calm from now on")
	time.Sleep(calmFor)
	found, err := w.await(id, 0)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	left := 0
	for _, i := range items {
		if _, ok := found[i.ID]; !ok && runs.isIdleFor(now, i.ID, failedExcuse) {
			left++
			w.logf("item %s is not listed, and no runner has had it for %s", i.ID, failedExcuse)
		}
	}
	if left > 0 && runs.lastEnd().Before(now.Add(-noneFor)) && runs.running() == 0 {
		return []string{fmt.Sprintf(
			"LOST: %d of %d items of the open batch job %s are not listed %s after the last crash, and all runners are idle",
			left, len(items), id, calmFor)}, nil
	}
	return nil, nil
}
