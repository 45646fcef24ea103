package assembler_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOddRowsAmongEndpointsChangeNothing has another writer leave odd rows among those of endpoints: VMs serve and follow the
// list on, also those that start later.
func TestOddRowsAmongEndpointsChangeNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	good := `{"service":"app","address":"127.0.0.1:1","zone":"syd-a","version":"v1","slots":8,"state":"ready","seq":1,"born":1}`
	with := func(old, odd string) string { return strings.Replace(good, old, odd, 1) }
	for id, text := range map[string]string{
		"odd-nested":     strings.Repeat("[", 60_000),
		"odd-value":      strings.Repeat(`{"service":`, 5_000),
		"odd-bytes":      "\x00\xff",
		"odd-number":     with(`"slots":8`, `"slots":1e400`),
		"odd-slots":      with(`"slots":8`, `"slots":9223372036854775807`),
		"odd-born":       with(`"born":1`, `"born":1e300`),
		"odd-port":       with("127.0.0.1:1", "127.0.0.1:99999"),
		"odd-port-0":     with("127.0.0.1:1", "127.0.0.1:0"),
		"odd\r\nX-Id: 1": good,
	} {
		f.store.Put("servers", "", id, []byte(text))
	}
	// A later row is received, and the first ones that are removed are noticed.
	f.addEndpoint("i-app-3", "app")
	f.awaitEndpoints()
	f.addVM()
	for _, vm := range f.vms {
		for range 10 {
			a := f.call(t.Context(), vm, http.MethodPost, "/status/1", newID("s"), "", withHeader("X-Deadline-Ms", "2000"))
			assert.Equal(t, http.StatusOK, a.status, a.body)
		}
	}
	f.store.Put("servers", "", "odd-nested", []byte("{}"))
	f.awaitConfig()
}
