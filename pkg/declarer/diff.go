package declarer

import (
	"reflect"
	"slices"
)

// ChangeKind says what happened to a declaration between two snapshots.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one declaration that differs between two snapshots; Old is nil if it was added, New is nil if it was removed.
type Change struct {
	Change ChangeKind  `json:"change"`
	Kind   string      `json:"kind"`
	Name   string      `json:"name"`
	Old    Declaration `json:"old,omitempty"`
	New    Declaration `json:"new,omitempty"`
}

type declarationKey struct{ kind, name string }

// Diff lists the declarations that differ between two snapshots, in the order of the newer one, with removals last.
func Diff(older, newer Snapshot) []Change {
	before := map[declarationKey]Declaration{}
	for _, d := range older.All() {
		before[declarationKey{d.Kind(), d.ID()}] = d
	}
	changes := []Change{}
	kept := map[declarationKey]bool{}
	for _, d := range newer.All() {
		key := declarationKey{d.Kind(), d.ID()}
		kept[key] = true
		old, ok := before[key]
		switch {
		case !ok:
			changes = append(changes, Change{Change: Added, Kind: key.kind, Name: key.name, New: d})
		case !reflect.DeepEqual(old, d):
			changes = append(changes, Change{Change: Changed, Kind: key.kind, Name: key.name, Old: old, New: d})
		}
	}
	removed := slices.DeleteFunc(older.All(), func(d Declaration) bool { return kept[declarationKey{d.Kind(), d.ID()}] })
	for _, d := range removed {
		changes = append(changes, Change{Change: Removed, Kind: d.Kind(), Name: d.ID(), Old: d})
	}
	return changes
}
