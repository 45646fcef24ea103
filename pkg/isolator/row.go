package isolator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// Table is the store's table of strikes and refutations.
//
// The key of a strike is PART/ENDPOINT@STARTED, with the suffix /answer for Strike.HadAnswer; its value is POSITION@TIME. The key
// of a refutation is PART/refuted, its value 0@TIME. The key of the last probe is PART/probed, its value probe@TIME, which builds
// that don't know it can't decode and ignore. Times are in Unix milliseconds.
const Table = "quarantine"

const (
	answerSuffix = "/answer"
	refutedName  = "refuted"
	probedName   = "probed"
	// probeValue stands in place of the position.
	probeValue = "probe"
)

// row is a decoded row: a strike, the refutation of a part at the time, or a probe that began at the time.
type row struct {
	quarantiner.Strike
	isRefutation, isProbe bool
}

func strikeKey(s quarantiner.Strike) string {
	key := s.Part + "/" + s.Endpoint
	if s.HadAnswer {
		key += answerSuffix
	}
	return key
}

func refutationKey(part string) string { return part + "/" + refutedName }

func probeKey(part string) string { return part + "/" + probedName }

func probeValueOf(at time.Time) []byte { return fmt.Appendf(nil, "%s@%d", probeValue, at.UnixMilli()) }

func valueOf(position int, at time.Time) []byte {
	return fmt.Appendf(nil, "%d@%d", position, at.UnixMilli())
}

// decodeRow decodes a row; of a removed one it decodes the key only.
func decodeRow(e storer.Entry) (row, error) {
	r := row{}
	key, hadAnswer := strings.CutSuffix(e.Key, answerSuffix)
	r.HadAnswer = hadAnswer
	isKey := false
	if r.Part, r.Endpoint, isKey = strings.Cut(key, "/"); !isKey || r.Part == "" || r.Endpoint == "" {
		return r, errors.Errorf("key %q is not PART/ENDPOINT", e.Key)
	}
	r.isRefutation, r.isProbe = r.Endpoint == refutedName, r.Endpoint == probedName
	if e.IsRemoved {
		return r, nil
	}
	position, at, _ := strings.Cut(string(e.Value), "@")
	n, err := uint64(0), error(nil)
	switch {
	case !r.isProbe:
		n, err = strconv.ParseUint(position, 10, 8)
	case position != probeValue:
		err = errors.Errorf("%q is not %q", position, probeValue)
	}
	if err != nil {
		return r, errors.Wrapf(err, "position in row %s", e.Key)
	}
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return r, errors.Wrapf(err, "time in row %s", e.Key)
	}
	r.Position, r.At = int(n), time.UnixMilli(ms)
	return r, nil
}
