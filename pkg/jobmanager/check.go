package jobmanager

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
)

const (
	// maxItems is the largest number of items of a job.
	maxItems = 200
	// maxID is the largest length of a job's id in bytes.
	maxID = 100
	// maxFieldName is the maximum number of bytes of an item's id in the name of a field.
	maxFieldName = 100
)

// SubmitError reports an invalid field of a submitted job, and how to correct it.
type SubmitError struct {
	Field, Value, Remedy string
}

func (e *SubmitError) Error() string {
	return fmt.Sprintf("batch job: %s is %q: %s", e.Field, e.Value, e.Remedy)
}

// checkJob returns a *SubmitError if the job is invalid.
func checkJob(id string, items []Item) error {
	switch {
	case id == "" || len(id) > maxID:
		return &SubmitError{Field: "id", Value: id, Remedy: fmt.Sprintf("send one of 1 to %d characters", maxID)}
	case strings.Contains(id, "/") || !utf8.ValidString(id):
		// Slashes divide the keys of rows, and the paths of calls about jobs.
		return &SubmitError{Field: "id", Value: id, Remedy: "send UTF-8 without a slash"}
	case len(items) == 0 || len(items) > maxItems:
		return &SubmitError{
			Field: "items", Value: fmt.Sprint(len(items)), Remedy: fmt.Sprintf("send 1 to %d items", maxItems),
		}
	}
	seen := map[string]bool{}
	for _, i := range items {
		if i.ID == "" || seen[i.ID] {
			return &SubmitError{Field: "item id", Value: i.ID, Remedy: "give each item an id of its own"}
		}
		if err := checkItem(i); err != nil {
			return err
		}
		seen[i.ID] = true
	}
	return nil
}

// checkItem returns a *SubmitError unless the item can be sent unchanged.
func checkItem(i Item) error {
	name := "item " + i.ID[:min(len(i.ID), maxFieldName)]
	if i.Path == "" || i.Path[0] != '/' || i.Tokens < 0 {
		return &SubmitError{Field: name + " path or tokens", Value: i.Path, Remedy: "give a path and tokens"}
	}
	for _, err := range []error{inspector.CheckID(i.ID), inspector.CheckTarget(i.Path), inspector.CheckHeader(i.Header)} {
		if field := (*inspector.FieldError)(nil); errors.As(err, &field) {
			return &SubmitError{Field: name + " " + field.Field, Value: field.Value, Remedy: field.Remedy}
		}
	}
	return checkText(name, i)
}

// checkText returns a *SubmitError if a text of the item held what is no UTF-8: the decoder of JSON has replaced it, so that it
// would not reach the endpoint as it was sent.
func checkText(name string, i Item) error {
	texts := []string{i.ID, i.Path}
	for header, values := range i.Header {
		texts = append(append(texts, header), values...)
	}
	at := slices.IndexFunc(texts, func(s string) bool { return strings.ContainsRune(s, utf8.RuneError) })
	if at < 0 {
		return nil
	}
	text := texts[at]
	return &SubmitError{Field: name + " text", Value: text[:min(len(text), maxFieldName)], Remedy: "send UTF-8"}
}
