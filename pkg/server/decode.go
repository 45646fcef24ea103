package server

import (
	"encoding/json"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
)

// decode parses a JSON body and validates it; the error holds a problem that names the invalid field.
func (s *Server) decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return &problemError{problem: badField("body", "", "send one JSON object: "+err.Error())}
	}
	fails := validator.ValidationErrors{}
	if err := s.validate.Struct(into); errors.As(err, &fails) {
		return &problemError{problem: badField(loader.FieldPath(fails[0]), "", loader.Remedy(fails[0]))}
	}
	return nil
}
