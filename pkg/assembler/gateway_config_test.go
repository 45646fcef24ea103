package assembler_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestConfigurationIsInForceInTime changes the configuration while one VM's watches of it are no use: the VM learns from its
// peers that there is a newer one.
func TestConfigurationIsInForceInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		path  string
		fault standin.StoreFault
	}{
		{"the store answers, but is behind", "/rows-feed", standin.Behind},
		{"the store turns the VM away without an answer", "/", standin.Silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			vm := f.vms[0]
			f.store.SetFault(func(r *http.Request) standin.StoreFault {
				if r.UserAgent() == "dogwoodledge/"+vm.name && strings.HasPrefix(r.URL.Path, c.path) {
					return c.fault
				}
				return standin.NoFault
			})
			// The watch that waits already is answered as usual.
			f.awaitConfig()
			f.routes = append(f.routes, route("safe", "/added/", "app", nil))
			f.configure()
			acknowledged := time.Now()
			status := 0
			for status != http.StatusOK && time.Since(acknowledged) < maxWait {
				status = f.call(t.Context(), vm, http.MethodPost, "/added/1", newID("c"), "", withHeader("X-Deadline-Ms", "2000")).status
				time.Sleep(10 * time.Millisecond)
			}
			require.Equal(t, http.StatusOK, status)
			assert.Less(t, time.Since(acknowledged), configApply)
		})
	}
}

// configApply is the time within which a configuration has to be in force at all VMs.
const configApply = 2500 * time.Millisecond
