package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// revokeBound is the bound for revoked keys in the settings of a fleet with accounts.
	revokeBound = 2500 * time.Millisecond
	// revokedAccount is the account whose key is revoked; revokedPrefix begins the ids of its requests.
	revokedAccount = "soak-revoked"
	revokedPrefix  = "revoked"
	// trickle is the pause between two requests with the revoked key.
	trickle = 15 * time.Millisecond
)

// callerAccounts are the accounts of the callers; the first one submits all jobs.
var callerAccounts = []string{"soak-a", "soak b"}

// hasAccounts reports whether the fleet of the seed has accounts; half of the seeds do.
func hasAccounts(seed uint64) bool { return rand.New(rand.NewPCG(seed, 6)).IntN(2) == 0 }

func keyOf(account string) string { return "key of " + account }

// accountOf returns the account that sends the online request with the id.
func accountOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return callerAccounts[h.Sum32()%uint32(len(callerAccounts))]
}

// addAccounts makes the configuration require keys, and the settings of VMs that are added bound the revocation of keys.
func (f *fleet) addAccounts() {
	for _, name := range append([]string{revokedAccount}, callerAccounts...) {
		f.accounts = append(f.accounts, map[string]any{"name": name, "apiKeys": []string{keyOf(name)}})
	}
	f.bounds = fmt.Sprintf("strictRevoke = true\nrevokeMs = %d\n", revokeBound.Milliseconds())
}

// authorize adds the account's key, and a wrong name of the account, to a request.
func (f *fleet) authorize(h http.Header, account string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.accounts) > 0 {
		h.Set("Authorization", "Bearer "+keyOf(account))
		h.Set("X-Tenant", "soak-other")
	}
}

// revokeKey sends requests with a key to all VMs, revokes it, and goes on until well after the bound. None that was sent after
// the bound may run.
func (s *soak) revokeKey(inj *injection) {
	s.recordInjection(inj, "key revoked")
	sentAt := map[string]time.Time{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: routeTimeout}
	send := func(until time.Time) {
		for time.Now().Before(until) {
			id := fmt.Sprintf("%s-%d", revokedPrefix, len(sentAt))
			sentAt[id] = time.Now()
			s.callers.send(client, s.fleet.vms[len(sentAt)%len(s.fleet.vms)], status, id, func(h http.Header) {
				s.fleet.authorize(h, revokedAccount)
			})
			time.Sleep(trickle)
		}
	}
	send(time.Now().Add(inj.duration))
	s.fleet.mu.Lock()
	s.fleet.accounts[0] = map[string]any{"name": revokedAccount}
	s.fleet.mu.Unlock()
	s.fleet.configure()
	revokedAt := time.Now()
	send(revokedAt.Add(2 * revokeBound))
	for _, violation := range lateRuns(s.fleet.runs(), sentAt, revokedAt) {
		s.addViolation("%s", violation)
	}
}

// lateRuns returns the runs of requests that were sent later than the bound after their key was revoked.
func lateRuns(runs []standin.Run, sentAt map[string]time.Time, revokedAt time.Time) []string {
	var violations []string
	for _, r := range runs {
		if after := sentAt[r.ID].Sub(revokedAt); after > revokeBound {
			violations = append(violations, fmt.Sprintf("REVOKED: %s ran, sent %s after its key was revoked", r.ID, after))
		}
	}
	return violations
}

// accountViolations returns the runs that carried a key, or the name of another account than that of their caller.
func accountViolations(runs []standin.Run) []string {
	var violations []string
	for _, r := range runs {
		want := callerAccounts[0]
		switch {
		case strings.HasPrefix(r.ID, revokedPrefix):
			want = revokedAccount
		case strings.HasPrefix(r.ID, "c"):
			want = accountOf(r.ID)
		}
		if key := r.Header.Get("Authorization"); key != "" {
			violations = append(violations, fmt.Sprintf("KEY: %s reached an endpoint with %q", r.ID, key))
		}
		if got := r.Header.Values("X-Tenant"); len(got) != 1 || got[0] != want {
			violations = append(violations, fmt.Sprintf("ACCOUNT: %s is of %q, the endpoint was told %q", r.ID, want, got))
		}
	}
	return violations
}

// TestAccountCheckersCatch gives the checkers runs with a revoked key, a key and a wrong name.
func TestAccountCheckersCatch(t *testing.T) {
	revokedAt := time.Now()
	sentAt := map[string]time.Time{"a": revokedAt.Add(revokeBound), "b": revokedAt.Add(revokeBound + time.Millisecond)}
	assert.Empty(t, lateRuns([]standin.Run{{ID: "a"}, {ID: "c"}}, sentAt, revokedAt))
	assert.Len(t, lateRuns([]standin.Run{{ID: "a"}, {ID: "b"}}, sentAt, revokedAt), 1)
	run := func(id, account, key string) standin.Run {
		h := http.Header{}
		h.Set("X-Tenant", account)
		if key != "" {
			h.Set("Authorization", key)
		}
		return standin.Run{ID: id, Header: h}
	}
	assert.Empty(t, accountViolations([]standin.Run{
		run("c1", accountOf("c1"), ""), run("j1-i0", callerAccounts[0], ""), run(revokedPrefix+"-1", revokedAccount, ""),
	}))
	assert.Len(t, accountViolations([]standin.Run{
		run("c1", accountOf("c1"), "Bearer k"), run("j1-i0", callerAccounts[1], ""), {ID: "c1", Header: http.Header{}},
	}), 3)
}
