package loader

import (
	"fmt"
	"strings"
)

// FieldError says what is wrong with one field of a file and how to mend it.
type FieldError struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Value  string `json:"value,omitempty"`
	Remedy string `json:"remedy"`
}

// Error names file, line, field, value and remedy.
func (e *FieldError) Error() string {
	value := ""
	if e.Value != "" {
		value = fmt.Sprintf(" is %q", e.Value)
	}
	return fmt.Sprintf("%s:%d: %s%s: %s", e.File, e.Line, e.Field, value, e.Remedy)
}

// FieldErrors are all the errors of one set of files.
type FieldErrors struct {
	Errors []*FieldError `json:"errors"`
}

// Error lists the errors, a line each.
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

func (e *FieldErrors) orNil() error {
	if len(e.Errors) == 0 {
		return nil
	}
	return e
}
