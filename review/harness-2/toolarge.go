//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// kvTotal is a runner's memory in tokens, as on the page of Vápenka Plán.
const kvTotal = 72000

// tokensOf returns the sum of the prompt's tokens and the most output tokens that a request names.
func tokensOf(text string) int {
	sum := 0
	for _, part := range strings.Split(text, ",") {
		n, _ := strconv.Atoi(strings.TrimSpace(part))
		sum += n
	}
	return sum
}

// results reads a job's results from the start at the VM, again after each failure.
func (d *daemon) results(job string, header map[string]string) (page, bool) {
	for range 10 {
		a := d.call("GET", "/lots/"+job+"?after=0", batchHost, "", header, nil)
		p := page{}
		if a.status == 200 && json.Unmarshal(a.body, &p) == nil {
			return p, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return page{}, false
}

// itemCount is how many items the job has. One of them is a share of 0.05, the largest of "poison" in the site file.
const itemCount = 20

// playTooLarge submits a batch job. With trouble, one of its items is larger than the memory of a runner.
func playTooLarge(r *rig) (bool, error) {
	for n := range 3 {
		rn, err := newRunner(r.record, fmt.Sprintf("i-7f3a91c%d", n), "textverk", 20, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		rn.memory = kvTotal
		r.store.Put("servers", "", rn.id, rn.entry("ready"))
		defer func() {
			r.printf("runner %s ran %d requests and refused %d", rn.id, len(rn.allRuns()), rn.refused.Load())
		}()
	}
	route := batchRoute()
	route["maxWaitS"] = 60
	r.store.Put("op", "", "config", configOf(1, nil, route))
	vms, err := r.startFleet(3)
	if err != nil {
		return false, err
	}
	job := "7c41e09b52d6a3f8"
	var items []item
	for n := range itemCount {
		c := "350,247"
		if r.hasTrouble && n == 1 {
			c = "71900,247"
		}
		items = append(items, item{
			ID: fmt.Sprintf("e5b2907c14da6f%02x", 0x30+n), Path: fmt.Sprintf("/pule252/3/91%02x", 0xc0+n), Body: []byte("care report"),
			Tokens:  int64(tokensOf(c)),
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": c, "X-Prompt-Prefix": fmt.Sprintf("9c2e41:100,5d07%02x:250", n)},
		})
	}
	sent := time.Now()
	if a := vms[0].call("POST", "/pule252/7c41e0", batchHost, job, map[string]string{"Content-Type": "application/json"},
		itemsBody(items)); a.status != 202 {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(10 * time.Second)
	vms[1].results(job, nil)
	// The traffic ends; after maxWaitS, at which an item may be given up, the platform waits finishS more.
	time.Sleep(time.Until(sent.Add((60 + 18 + 4) * time.Second)))
	held := true
	for _, d := range vms {
		p, ok := d.results(job, nil)
		if !ok {
			return false, fmt.Errorf("the results can't be read")
		}
		listed := map[string]string{}
		for _, x := range p.Results {
			listed[x.ID] = x.State
		}
		for _, i := range items {
			if listed[i.ID] == "" {
				held = false
				r.printf("BROKEN: %s lists item %s neither as succeeded nor as abandoned %.0f s after the 202 (maxWaitS is 60)",
					d.name, i.ID, time.Since(sent).Seconds())
			}
		}
	}
	return held, nil
}
