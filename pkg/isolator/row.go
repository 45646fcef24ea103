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
// The key of a strike is PART/ENDPOINT@STARTED, with the suffix /answer for Strike.HadAnswer; its value is POSITION@TIME, or
// POSITION@TIME@EVENTS for Strike.Events, with the suffix @later or @none for Strike.Delay. The key of a refutation is
// PART/refuted, its value 0@TIME. The key of the last probe is PART/probed, its value probe@TIME; that of a refutation up to a
// number of events is PART/outlived, its value outlived@TIME@EVENTS. Builds that don't know a form can't decode and ignore it.
// Times are in Unix milliseconds.
const Table = "quarantine"

const (
	answerSuffix = "/answer"
	refutedName  = "refuted"
	probedName   = "probed"
	outlivedName = "outlived"
	// probeValue and outlivedName stand in place of the position.
	probeValue = "probe"
)

// delayNames holds the last field of a strike's value.
var delayNames = map[quarantiner.Delay]string{quarantiner.DelaysLater: "later", quarantiner.DelaysNone: "none"}

// row is a decoded row: a strike, the refutation of a part at the time, one of strikes up to the events, or a probe that began at
// the time.
type row struct {
	quarantiner.Strike
	isRefutation, isOutlived, isProbe bool
}

func (r row) isStrike() bool { return !r.isRefutation && !r.isOutlived && !r.isProbe }

func strikeKey(s quarantiner.Strike) string {
	key := s.Part + "/" + s.Endpoint
	if s.HadAnswer {
		key += answerSuffix
	}
	return key
}

func refutationKey(part string) string { return part + "/" + refutedName }

func probeKey(part string) string { return part + "/" + probedName }

func outlivedKey(part string) string { return part + "/" + outlivedName }

func outlivedValueOf(r quarantiner.Refutation) []byte {
	return fmt.Appendf(nil, "%s@%d@%d", outlivedName, r.At.UnixMilli(), r.Events)
}

func probeValueOf(at time.Time) []byte { return fmt.Appendf(nil, "%s@%d", probeValue, at.UnixMilli()) }

func valueOf(position int, at time.Time) []byte {
	return fmt.Appendf(nil, "%d@%d", position, at.UnixMilli())
}

func strikeValueOf(s quarantiner.Strike) []byte {
	value := valueOf(s.Position, s.At)
	name, hasDelay := delayNames[s.Delay]
	if s.Events > 0 || hasDelay {
		value = fmt.Appendf(value, "@%d", s.Events)
	}
	if hasDelay {
		value = append(value, "@"+name...)
	}
	return value
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
	r.isRefutation, r.isOutlived, r.isProbe = r.Endpoint == refutedName, r.Endpoint == outlivedName, r.Endpoint == probedName
	if e.IsRemoved {
		return r, nil
	}
	fields := strings.Split(string(e.Value), "@")
	if err := r.decodePosition(fields[0]); err != nil {
		return r, errors.Wrapf(err, "position in row %s", e.Key)
	}
	if len(fields) < 2 || len(fields) > r.maxFields() {
		return r, errors.Errorf("row %s has %d fields", e.Key, len(fields))
	}
	ms, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return r, errors.Wrapf(err, "time in row %s", e.Key)
	}
	r.At = time.UnixMilli(ms)
	if len(fields) > 2 {
		n, err := strconv.ParseUint(fields[2], 10, 31)
		if err != nil {
			return r, errors.Wrapf(err, "events in row %s", e.Key)
		}
		r.Events = int(n)
	}
	if len(fields) > 3 {
		return r, r.decodeDelay(fields[3])
	}
	return r, nil
}

func (r *row) decodeDelay(field string) error {
	for delay, name := range delayNames {
		if name == field {
			r.Delay = delay
			return nil
		}
	}
	return errors.Errorf("%q is no delay of probes", field)
}

// decodePosition decodes the position in the prompt, or what stands in its place.
func (r *row) decodePosition(field string) error {
	want := ""
	switch {
	case r.isProbe:
		want = probeValue
	case r.isOutlived:
		want = outlivedName
	default:
		n, err := strconv.ParseUint(field, 10, 8)
		r.Position = int(n)
		return err
	}
	if field != want {
		return errors.Errorf("%q is not %q", field, want)
	}
	return nil
}

// maxFields returns the largest number of fields of the row's value.
func (r *row) maxFields() int {
	switch {
	case r.isOutlived:
		return 3
	case r.isStrike():
		return 4
	default:
		return 2
	}
}
