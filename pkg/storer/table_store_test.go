package storer_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

func put(t *testing.T, s storer.Store, keys ...string) int64 {
	t.Helper()
	tx := storer.Transaction{}
	for _, key := range keys {
		tx.Puts = append(tx.Puts, storer.Put{Key: key, Value: []byte("of " + key)})
	}
	version, err := s.Commit(t.Context(), tx)
	require.NoError(t, err)
	return version
}

// TestListSpansPages lists more rows than the table service returns in one page.
func TestListSpansPages(t *testing.T) {
	p := emulator.NewPlatform()
	put(t, p, "a", "c", "b\xff")
	for i := range 12 {
		keys := make([]string, 100)
		for k := range keys {
			keys[k] = fmt.Sprintf("b/%04d", 100*i+k)
		}
		put(t, p, keys...)
	}
	tests := []struct {
		name, prefix, after string
		limit, count        int
		first               string
	}{
		{"all of a prefix", "b/", "", 5000, 1200, "b/0000"},
		{"as many as asked", "b/", "", 700, 700, "b/0000"},
		{"after a key", "b/", "b/0998", 5000, 201, "b/0999"},
		{"after a key before the prefix", "b/", "a", 1, 1, "b/0000"},
		{"every key", "", "", 5000, 1203, "a"},
		{"nothing", "d", "", 5000, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rows, err := p.List(t.Context(), tt.prefix, tt.after, tt.limit)
			require.NoError(t, err)
			require.Len(t, rows, tt.count)
			if tt.count > 0 {
				assert.Equal(t, tt.first, rows[0].Key)
			}
		})
	}
}

// TestConflictNamesTheFirstRowThatDiffers expects a version of an unchanged row, a newer row and an absent row.
func TestConflictNamesTheFirstRowThatDiffers(t *testing.T) {
	p := emulator.NewPlatform()
	old := put(t, p, "a", "b")
	now := put(t, p, "b")
	conflict := (*storer.ConflictError)(nil)
	_, err := p.Commit(t.Context(), storer.Transaction{
		Checks: []storer.Check{{Key: "a", Version: old}, {Key: "b", Version: old}, {Key: "c", Version: old}},
		Puts:   []storer.Put{{Key: "d"}},
	})
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, storer.Row{Key: "b", Version: now, Value: []byte("of b")}, conflict.Current)
	_, err = p.Commit(t.Context(), storer.Transaction{Checks: []storer.Check{{Key: "c", Version: old}}})
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, storer.Row{Key: "c"}, conflict.Current, "an absent row has version 0")
	row, err := p.Read(t.Context(), "d")
	require.NoError(t, err)
	assert.Zero(t, row.Version, "a refused transaction writes nothing")
}

// TestObjectWhoseAnswerWasLost puts an object whose first attempt was stored although its answer was lost.
func TestObjectWhoseAnswerWasLost(t *testing.T) {
	p := emulator.NewPlatform()
	p.SetFaults(emulator.PlatformFaults{LoseAnswers: 1})
	require.NoError(t, p.PutObject(t.Context(), "file/1", []byte("lines")))
	body, err := p.GetObject(t.Context(), "file/1")
	require.NoError(t, err)
	raw, err := io.ReadAll(body)
	require.NoError(t, err)
	assert.Equal(t, "lines", string(raw))
	missing := (*storer.NotFoundError)(nil)
	_, err = p.GetObject(t.Context(), "file/2")
	require.ErrorAs(t, err, &missing)
}

// TestOpenBreakerRefusesCalls fails calls until the circuit breaker opens; a call that the breaker refuses has not run.
func TestOpenBreakerRefusesCalls(t *testing.T) {
	p := emulator.NewPlatform()
	p.SetFaults(emulator.PlatformFaults{LoseCommits: 5})
	unavailable := (*storer.UnavailableError)(nil)
	for range 5 {
		_, err := p.Commit(t.Context(), storer.Transaction{Puts: []storer.Put{{Key: "a"}}})
		require.ErrorAs(t, err, &unavailable)
		assert.True(t, unavailable.MayHaveRun, "the answer was lost")
	}
	_, err := p.Commit(t.Context(), storer.Transaction{Puts: []storer.Put{{Key: "b"}}})
	require.ErrorAs(t, err, &unavailable)
	assert.False(t, unavailable.MayHaveRun, "the breaker is open")
	assert.EqualValues(t, 6, p.Counts().Failures)
}
