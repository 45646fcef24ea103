package loader

import (
	"fmt"
	"strings"
)

// FieldError is an invalid field of a file, with its line, its value and how to correct it. It is also sent as JSON.
type FieldError struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Value  string `json:"value,omitempty"`
	Remedy string `json:"remedy"`
}

// Error returns file, line, field, value and remedy in one line.
func (e *FieldError) Error() string {
	value := ""
	if e.Value != "" {
		value = fmt.Sprintf(" is %q", e.Value)
	}
	return fmt.Sprintf("%s:%d: %s%s: %s", e.File, e.Line, e.Field, value, e.Remedy)
}

// FieldErrors are all the invalid fields found in one set of files.
type FieldErrors struct {
	Errors []*FieldError `json:"errors"`
}

// Error lists the errors, one per line.
func (e *FieldErrors) Error() string {
	lines := make([]string, 0, len(e.Errors))
	for _, fe := range e.Errors {
		lines = append(lines, fe.Error())
	}
	return strings.Join(lines, "\n")
}

func (e *FieldErrors) add(fe *FieldError) {
	e.Errors = append(e.Errors, fe)
}

// orNil returns e as an error, or nil if it has no errors.
func (e *FieldErrors) orNil() error {
	if len(e.Errors) == 0 {
		return nil
	}
	return e
}
