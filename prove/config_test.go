package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
)

func (f *fleet) revision(v *vm) int64 {
	r, err := http.NewRequest(http.MethodGet, "http://"+v.operators.String()+"/operators/v1/snapshot", nil)
	require.NoError(f.t, err)
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	reply := struct {
		Head struct{ Revision int64 } `json:"head"`
	}{}
	_ = json.NewDecoder(res.Body).Decode(&reply)
	return reply.Head.Revision
}

// watchRevisions polls the revision of every VM until stop is called, and fails the test if one decreases.
func (f *fleet) watchRevisions() (stop func()) {
	isOver := atomic.Bool{}
	wg := sync.WaitGroup{}
	for _, v := range f.vms {
		wg.Go(func() {
			last := int64(0)
			for !isOver.Load() {
				now := f.revision(v)
				assert.GreaterOrEqual(f.t, now, last, "revision of %s", v.id)
				last = max(last, now)
			}
		})
	}
	return func() {
		isOver.Store(true)
		wg.Wait()
	}
}

// TestOperatorsRace changes the preset concurrently through every VM: one change succeeds per round, and no revision decreases.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3})
	stop := f.watchRevisions()
	for round := range 4 {
		expected := int64(round + 1)
		won := atomic.Int64{}
		wg := sync.WaitGroup{}
		for i := range 6 {
			wg.Go(func() {
				raw, _ := json.Marshal(server.ApplyRequest{Preset: []string{"peak", "ordinary"}[i%2], ExpectedRevision: expected})
				r, _ := http.NewRequest(http.MethodPost, "http://"+f.vms[i%3].operators.String()+"/operators/v1/preset", bytes.NewReader(raw))
				r.Header.Set("Authorization", "Bearer "+operatorKey)
				res, err := http.DefaultClient.Do(r)
				if !assert.NoError(t, err) {
					return
				}
				defer func() { _ = res.Body.Close() }()
				if res.StatusCode == http.StatusOK {
					won.Add(1)
					return
				}
				problem := server.OperatorProblem{}
				assert.NoError(t, json.NewDecoder(res.Body).Decode(&problem))
				assert.Equal(t, http.StatusConflict, res.StatusCode, problem.Detail)
				if assert.NotNil(t, problem.Current) {
					assert.Equal(t, expected+1, problem.Current.Revision, "the conflict states the active revision")
				}
			})
		}
		wg.Wait()
		assert.EqualValues(t, 1, won.Load())
		for _, v := range f.vms {
			f.await("the new revision is active on "+v.id, func() bool { return f.revision(v) == expected+1 })
		}
	}
	stop()
}

// TestPresetWriteAnswerLost loses the answer to the write of the configuration head, which took effect.
func TestPresetWriteAnswerLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.platformFaults(emulator.PlatformFaults{LoseCommits: 1})
	out, err := f.cli(f.vms[0], operatorKey, "preset", "use", "peak")
	require.NoError(t, err, out)
	assert.Contains(t, out, "revision 2")
	assert.EqualValues(t, 2, f.revision(f.vms[1]))
}

// TestVMStartsWithStoreDown starts a VM while the store is down; it fetches the configuration from a peer and serves.
func TestVMStartsWithStoreDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 1})
	out, err := f.cli(f.vms[0], operatorKey, "preset", "use", "peak")
	require.NoError(t, err, out)
	f.platformFaults(emulator.PlatformFaults{IsDown: true})
	v := f.startVM("vm-late", 1)
	f.awaitReady(v)
	assert.EqualValues(t, 2, f.revision(v))
	requireComplete(t, f.chat(v, "A card", 5), "A card", 5)
}

// TestUnconfirmedVMIsReported kills a VM just before a change: the output says that this VM has not confirmed it.
func TestUnconfirmedVMIsReported(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3})
	f.vms[2].kill()
	out, err := f.cli(f.vms[0], operatorKey, "preset", "use", "peak", "--within", "1s")
	require.Error(t, err)
	assert.Contains(t, out, "vm-3 (out of contact)")
	assert.Contains(t, out, "in force on 2 VMs of 3 VMs")
}

// TestStaleVMList freezes the platform's list of VMs before another VM starts; the others learn of it by gossip.
func TestStaleVMList(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2})
	f.platformFaults(emulator.PlatformFaults{IsVMListFrozen: true})
	v := f.startVM("vm-new", 1)
	f.awaitReady(v)
	for _, other := range f.vms {
		f.await(other.id+" counts three live VMs", func() bool { return f.liveMembers(other) == 3 })
	}
}

// TestDeclarationRaceLostNamesTheDifference applies declarations with an outdated revision; the error states the difference.
func TestDeclarationRaceLostNamesTheDifference(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 1})
	dir := filepath.Join(f.dir, "changed")
	require.NoError(t, os.MkdirAll(dir, 0o700))
	changed := append(f.declarations(), []byte("kind: model\nname: second\ncontextTokens: 10\ndefaultTokens: 1\n")...)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "all.yaml"), changed, 0o600))
	out, err := f.cli(f.vms[0], operatorKey, "apply", "-f", dir, "--expect", "0")
	require.Error(t, err)
	assert.Contains(t, out, "expected revision 0, but revision 1 is in force")
	assert.Contains(t, out, "differs: added model second")
	out, err = f.cli(f.vms[0], operatorKey, "apply", "-f", dir, "--expect", "1")
	require.NoError(t, err, out)
	assert.Contains(t, out, fmt.Sprintf("revision %d", 2))
}

// TestOrdersCarryFencingTokens sends an engine orders through two VMs; the fencing token increases with each.
func TestOrdersCarryFencingTokens(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 1})
	for i, v := range f.vms {
		out, err := f.cli(v, operatorKey, "endpoint", "order", "engine-1", "loadModel", "card-writer")
		require.NoError(t, err, out)
		assert.Contains(t, out, fmt.Sprintf("under fence %d", i+1))
	}
	out, err := f.cli(f.vms[0], operatorKey, "endpoint", "order", "engine-1", "explode", "x")
	require.Error(t, err)
	assert.Contains(t, out, "kind: use one of: loadModel loadAdapter loadVersion setRole")
	f.platformFaults(emulator.PlatformFaults{IsDown: true})
	out, err = f.cli(f.vms[0], operatorKey, "endpoint", "order", "engine-1", "loadModel", "card-writer")
	require.Error(t, err, out)
}
