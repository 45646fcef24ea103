package isolator

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// FuzzDecodeRow decodes rows of any form: those that are decoded have the parts of their keys and values.
func FuzzDecodeRow(f *testing.F) {
	for _, row := range [][2]string{
		{"ab/e@1", "1@5"},
		{"ab/e@1/answer", "1@5"},
		{"ab/refuted", "0@5"},
		{"ab/probed", "probe@5"},
		{"ab/probed", "0@5"},
		{"ab/e@1", "probe@5"},
		{"ab/probed/answer", "probe@5"},
		{"/probed", "probe@5"},
		{"ab/probed", "probe@"},
		{"ab/probed", ""},
		{"ab/e@1/answer", "1@5@40"},
		{"ab/e@1/answer", "1@5@40@none"},
		{"ab/e@1", "1@5@40@"},
		{"ab/outlived", "outlived@5@40"},
		{"ab/outlived", "0@5"},
		{"ab/refuted", "0@5@40"},
	} {
		f.Add(row[0], row[1])
	}
	f.Fuzz(func(t *testing.T, key, value string) {
		r, err := decodeRow(storer.Entry{Table: Table, Key: key, Value: []byte(value)})
		if err != nil {
			return
		}
		assert.NotEmpty(t, r.Part)
		assert.False(t, r.isProbe && r.isRefutation)
		assert.Equal(t, r.isProbe, strings.HasPrefix(value, probeValue+"@"), "%q %q", key, value)
	})
}

// TestProbeRowIsNoStrikeElsewhere decodes the row of a probe here, and as builds do that know strikes and refutations only.
func TestProbeRowIsNoStrikeElsewhere(t *testing.T) {
	at := time.UnixMilli(1796400000123)
	e := storer.Entry{Table: Table, Key: probeKey("ab"), Value: probeValueOf(at)}
	r, err := decodeRow(e)
	require.NoError(t, err)
	assert.Equal(t, row{Strike: quarantiner.Strike{Part: "ab", Endpoint: probedName, At: at}, isProbe: true}, r)
	position, _, _ := strings.Cut(string(e.Value), "@")
	_, err = strconv.ParseUint(position, 10, 8)
	require.Error(t, err, "an older build takes the row for a strike")
}

// TestRowsHoldProgress decodes the rows of strikes and of progress here, and that of progress as builds do that don't know it.
func TestRowsHoldProgress(t *testing.T) {
	at := time.UnixMilli(1796400000123)
	for _, s := range []quarantiner.Strike{
		{Part: "ab", Position: 1, Endpoint: "e@1", At: at},
		{Part: "ab", Position: 1, Endpoint: "e@1", Events: 40, At: at},
		{Part: "ab", Position: 1, Endpoint: "e@1", HadAnswer: true, Events: 40, Delay: quarantiner.DelaysNone, At: at},
		{Part: "ab", Position: 1, Endpoint: "e@1", HadAnswer: true, Delay: quarantiner.DelaysLater, At: at},
	} {
		r, err := decodeRow(storer.Entry{Table: Table, Key: strikeKey(s), Value: strikeValueOf(s)})
		require.NoError(t, err)
		assert.Equal(t, row{Strike: s}, r)
	}
	refutation := quarantiner.Refutation{Part: "ab", At: at, Events: 40}
	e := storer.Entry{Table: Table, Key: outlivedKey("ab"), Value: outlivedValueOf(refutation)}
	r, err := decodeRow(e)
	require.NoError(t, err)
	assert.Equal(t, row{Strike: quarantiner.Strike{Part: "ab", Endpoint: outlivedName, At: at, Events: 40}, isOutlived: true}, r)
	position, _, _ := strings.Cut(string(e.Value), "@")
	_, err = strconv.ParseUint(position, 10, 8)
	require.Error(t, err, "an older build takes the row for a strike")
}

// TestProbeRowsInAnyOrderGiveOneVerdict applies the rows of strikes, a refutation and probes in two orders, some twice.
func TestProbeRowsInAnyOrderGiveOneVerdict(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var entries []storer.Entry
		for n := range 3 {
			s := quarantiner.Strike{Part: "ab", Position: 1, Endpoint: fmt.Sprintf("e%d@1", n), At: now.Add(-time.Second)}
			entries = append(entries, storer.Entry{Table: Table, Key: strikeKey(s), Value: valueOf(1, s.At)})
		}
		for range rapid.IntRange(0, 3).Draw(t, "probes") {
			at := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			entries = append(entries, storer.Entry{Table: Table, Key: probeKey("ab"), Value: probeValueOf(at)})
		}
		if rapid.Bool().Draw(t, "refuted") {
			entries = append(entries, storer.Entry{Table: Table, Key: refutationKey("ab"), Value: valueOf(0, now.Add(-2*time.Second))})
		}
		entries = append(entries, entries[rapid.IntRange(0, len(entries)-1).Draw(t, "twice")])
		verdicts := func(list []storer.Entry) []quarantiner.Verdict {
			i := New(nil, nil, nil, nil, log)
			i.ApplyPeerRows(list)
			var out []quarantiner.Verdict
			for n := range 40 {
				v := i.quarantiner.Check(now.Add(time.Duration(n)*500*time.Millisecond), []string{"ab"})
				// The times of learning differ by the time between two calls.
				v.Left = v.Left.Round(time.Second)
				v.Turn = 0
				out = append(out, v)
			}
			return out
		}
		assert.Equal(t, verdicts(entries), verdicts(rapid.Permutation(entries).Draw(t, "order")))
	})
}

// TestProbeIsWrittenOnce applies rows of probes while that of an own probe waits for the store: it is still written, unless a
// later one is known.
func TestProbeIsWrittenOnce(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := New(nil, nil, nil, nil, log)
	now := time.Now()
	i.putProbe(now, "ab")
	rowAt := func(at time.Time) []storer.Entry {
		return []storer.Entry{{Table: Table, Key: probeKey("ab"), Value: probeValueOf(at)}}
	}
	i.ApplyPeerRows(rowAt(now.Add(-time.Second)))
	assert.Len(t, i.nextChange(now).Puts, 1)
	i.ApplyPeerRows(rowAt(now.Add(time.Second)))
	assert.Empty(t, i.nextChange(now).Puts)
}
