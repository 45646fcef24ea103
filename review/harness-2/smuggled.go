//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	smuggledHeaderID = "00000000deadbee1"
	smuggledPathID   = "00000000deadbee2"
)

// chunkedItem returns an item whose headers say that its body comes in chunks. Its body ends at once, and another request follows.
func chunkedItem(it item) item {
	it.Headers["Transfer-Encoding"] = "chunked"
	it.Body = []byte("0\r\n\r\nPOST /nowhere/order HTTP/1.1\r\nHost: " + batchHost + "\r\nX-Request-Id: " + smuggledHeaderID +
		"\r\nX-Tenant: florist-b\r\nX-Model: m\r\nX-Token-Count: 1,1\r\nContent-Length: 0\r\n\r\n")
	return it
}

// splitItem returns an item whose path ends its own request and begins another one, which gets the rest of what is sent.
func splitItem(it item) item {
	it.Path += " HTTP/1.1\r\nHost: " + batchHost + "\r\nX-Request-Id: " + it.ID + "\r\nContent-Length: 0\r\n\r\n" +
		"POST /nowhere/order HTTP/1.1\r\nX-Request-Id: " + smuggledPathID + "\r\nX-Tenant: florist-b\r\nX-Rest: x"
	return it
}

// playSmuggled submits two batch jobs of the tenant florist-a, each of one item. With trouble, each item carries a second request,
// which names another tenant.
func playSmuggled(r *rig) (bool, error) {
	rn, err := newRunner(r.record, "i-7f3a91c2", "textverk", 6, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	r.store.Put("op", "", "config", configOf(1, []any{
		map[string]any{"name": "florist-a", "apiKeys": []string{"key-a"}, "ratePerS": 50, "burst": 50},
		map[string]any{"name": "florist-b", "apiKeys": []string{"key-b"}, "ratePerS": 50, "burst": 50},
	}, batchRoute()))
	r.store.Put("servers", "", rn.id, rn.entry("ready"))
	vms, err := r.startFleet(2)
	if err != nil {
		return false, err
	}
	key := map[string]string{"Content-Type": "application/json", "Authorization": "Bearer key-a"}
	sent := map[string]bool{}
	for n, change := range []func(item) item{chunkedItem, splitItem} {
		it := item{
			ID: fmt.Sprintf("e5b2907c14da6f3%d", n), Path: fmt.Sprintf("/pule252/3/91c%d", n), Body: []byte("a care report"),
			Tokens:  597,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": "350,247", "X-Prompt-Prefix": "9c2e41:100,5d07b8:250"},
		}
		sent[it.ID] = true
		if r.hasTrouble {
			it = change(it)
		}
		job := fmt.Sprintf("7c41e09b52d6a3f%d", n)
		r.printf("item %s: path %q, headers %q, body %q", it.ID, it.Path, it.Headers, it.Body)
		vms[n].call("POST", "/pule252/7c41e0", batchHost, job, key, itemsBody([]item{it}))
	}
	time.Sleep(5 * time.Second)
	for n := range 2 {
		vms[1-n].call("GET", fmt.Sprintf("/lots/7c41e09b52d6a3f%d?after=0", n), batchHost, "", key, nil)
	}
	held, ran := true, map[string]bool{}
	for _, x := range rn.allRuns() {
		ran[x.id] = true
		if !sent[x.id] {
			held = false
			r.printf("BROKEN: runner %s ran the request %s, which no client sent: %s %s of tenant %q", x.runner, x.id, x.method, x.path,
				x.header.Get("X-Tenant"))
		}
	}
	if !r.hasTrouble && len(ran) != len(sent) {
		return false, fmt.Errorf("%d of %d items ran", len(ran), len(sent))
	}
	return held, nil
}
