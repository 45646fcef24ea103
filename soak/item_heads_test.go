package soak

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
)

// leftOut holds headers that concern one connection or the framing of one message. Items with them run, and they go no further.
var leftOut = []map[string]string{
	{"Transfer-Encoding": "chunked"},
	{"Connection": "close, X-Tenant"},
	{"Host": "other.example"},
	{"Content-Length": "1"},
	{"Expect": "100-continue", "Upgrade": "h2c", "Te": "trailers"},
}

// leftOutOf returns the headers of leftOut that the item has, the same each time its job is submitted; half of the items have
// none.
func leftOutOf(item string) map[string]string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(item))
	if n := int(h.Sum32() >> 8); n%2 == 0 {
		return leftOut[n/2%len(leftOut)]
	}
	return nil
}

// unsendable holds changes after which no request can carry the item.
var unsendable = map[string]func(item map[string]any){
	"a path with a second request": func(item map[string]any) {
		item["path"] = fmt.Sprint(item["path"], " HTTP/1.1\r\nHost: ", host, "\r\nX-Request-Id: ", item["id"],
			"\r\nContent-Length: 0\r\n\r\nPOST /nowhere/order HTTP/1.1\r\nX-Request-Id: smuggled-", item["id"], "\r\nX-Rest: x")
	},
	"a path with a blank":         func(item map[string]any) { item["path"] = fmt.Sprint(item["path"], " b") },
	"a path with a bad escape":    func(item map[string]any) { item["path"] = fmt.Sprint(item["path"], "%zz") },
	"an id with a line end":       func(item map[string]any) { item["id"] = fmt.Sprint(item["id"], "\r\nX-Tenant: b") },
	"an id with a blank":          func(item map[string]any) { item["id"] = fmt.Sprint(item["id"], " ") },
	"a header with a line end":    func(item map[string]any) { setHeader(item, "X-A", "1\r\nX-Tenant: b") },
	"a header with NUL":           func(item map[string]any) { setHeader(item, "X-A", "\x00") },
	"a header name with line end": func(item map[string]any) { setHeader(item, "X-A: 1\r\nX-Tenant", "b") },
}

func setHeader(item map[string]any, name, value string) {
	item["headers"].(map[string]string)[name] = value
}

// submitUnsendable submits a job whose last item no request can carry, beside a sound one. No VM may accept it.
func (c *callers) submitUnsendable(random *rand.Rand, v *vm, id string) {
	forms := slices.Sorted(maps.Keys(unsendable))
	form := forms[random.IntN(len(forms))]
	j := c.newJob(id, kind{})
	k, _ := j.route()
	var items []map[string]any
	for _, item := range j.items {
		headers := map[string]string{"X-Model": "m", "X-Token-Count": "540,400"}
		items = append(items, map[string]any{
			"id": item, "path": k.prefix + itemPath + item, "body": []byte("body of " + item), "tokens": 940, "headers": headers,
		})
	}
	unsendable[form](items[len(items)-1])
	code, _ := c.callJob(v, http.MethodPost, k.prefix+id, id, map[string]any{"items": items})
	if code == http.StatusAccepted {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.addViolation("UNASKED: %s accepted a job with %s", v.name, form)
	}
}
