package storer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// ReadJSON reads the row at key into a value of type T and returns the row's version, 0 when it is absent.
func ReadJSON[T any](ctx context.Context, s Store, key string) (T, int64, error) {
	var v T
	row, err := s.Read(ctx, key)
	if err != nil || row.Version == 0 {
		return v, 0, err
	}
	return v, row.Version, errors.Wrapf(json.Unmarshal(row.Value, &v), "decode row %q", key)
}

// PutJSON returns the Put that writes v as JSON under key; it panics when v can't be encoded, which no row type causes.
func PutJSON(key string, v any) Put {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrapf(err, "encode row %q", key))
	}
	return Put{Key: key, Value: raw}
}

// ListAll reads the rows whose keys start with prefix page by page and calls visit for each until it returns false.
func ListAll(ctx context.Context, s Store, prefix string, visit func(Row) bool) error {
	const pageRows = 1000
	after := ""
	for {
		rows, err := s.List(ctx, prefix, after, pageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if !visit(row) {
				return nil
			}
			after = row.Key
		}
		if len(rows) < pageRows {
			return nil
		}
	}
}
