package gossiper

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// oneRow is a store with one row, or one that can't be read.
type oneRow struct {
	storer.Table
	value string
	err   error
}

func (s oneRow) Scan(context.Context, storer.Range) (storer.Page, error) {
	if s.err != nil || s.value == "" {
		return storer.Page{}, s.err
	}
	return storer.Page{Entries: []storer.Entry{{Value: []byte(s.value)}}}, nil
}

func TestNextIncarnationGrows(t *testing.T) {
	now := time.UnixMicro(1000)
	for _, tt := range []struct {
		name    string
		store   oneRow
		want    int64
		hadMany bool
		fails   bool
	}{
		{name: "no row", want: 1000},
		{name: "earlier process", store: oneRow{value: `{"incarnation":999}`}, want: 1000},
		{name: "many endpoints", store: oneRow{value: `{"incarnation":999,"manyEndpoints":true}`}, want: 1000, hadMany: true},
		{name: "clock was set back", store: oneRow{value: `{"incarnation":2000}`}, want: 2001},
		{name: "no room for refutations", store: oneRow{value: `{"incarnation":9223372036854775807}`}, want: 1000},
		{name: "no row of a VM", store: oneRow{value: `[]`}, want: 1000, fails: true},
		{name: "store unreachable", store: oneRow{err: errors.New("down")}, want: 1000, fails: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := ReadPrevious(t.Context(), tt.store, "a", now)
			assert.Equal(t, Previous{NextIncarnation: tt.want, HadManyEndpoints: tt.hadMany}, got)
			assert.Equal(t, tt.fails, err != nil)
		})
	}
}
