package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeldItemsOfASplitAreTriedAtTheServiceWithEngines splits a batch route over a service with idle engines and one without any:
// the items of the first must not lie behind a quarantined part that they share with those of the other.
func TestHeldItemsOfASplitAreTriedAtTheServiceWithEngines(t *testing.T) {
	for range 4 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			for _, r := range f.routes {
				if r["pathPrefix"] == "/batch/" {
					delete(r, "service")
					r["trafficSplit"] = []map[string]any{{"service": "llm", "weight": 0.5}, {"service": "none", "weight": 0.5}}
				}
			}
			f.configure()
			f.awaitEndpoints()
			time.Sleep(time.Second)
			sound := itemsWith("5ab7d001", 12)
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], newID("job"), sound).status)
			require.Eventually(t, func() bool { return f.begun(sound) > 0 }, maxWait, 10*time.Millisecond, "the split serves no item")
			const part = "5ab7d002"
			items := itemsWith(part, 12)
			f.quarantine(part, 12, 11, 10)
			accepted := f.submitHeld(items)
			for f.begun(items) == 0 && time.Since(accepted) < 4*maxLie {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("%d sound items begun, and %d held ones after %s", f.begun(sound), f.begun(items), time.Since(accepted))
			require.Less(t, time.Since(accepted), maxLie+time.Second, "items lie while the engines of their service are idle")
		})
	}
}
