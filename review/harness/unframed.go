//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { plays["unframed-crash"] = unframedCrash }

// unframedCrash has one of six runners, whose answers end with their connections, crash under batch items. Its connections are
// closed, not reset, as the kernel does for a process that is killed. An item that succeeds must have its whole output.
func unframedCrash(w *world) ([]string, error) {
	runs := &ledger{}
	m := model{events: 200, first: 50 * time.Millisecond, step: 20 * time.Millisecond, isUnframed: true}
	w.configure([]map[string]any{batchRoute("/pule252/", "huvo11a")}, []map[string]any{engineService("huvo11a")})
	if err := w.startRunners(6, "huvo11a", m, runs); err != nil {
		return nil, err
	}
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
	if w.isTroubled {
		w.allRunners()[0].crashAndFade()
	}
	found, err := w.await(id, 30*time.Second)
	if err != nil {
		return nil, err
	}
	var breaks []string
	for _, i := range items {
		if n := strings.Count(found[i.ID].Output, "\n") + 1; found[i.ID].State == "succeeded" && n != m.events {
			breaks = append(breaks, fmt.Sprintf("MIXED: item %s has succeeded with %d of %d events", i.ID, n, m.events))
		}
	}
	return breaks, nil
}
