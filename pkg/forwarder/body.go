package forwarder

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// AsStreamed returns a chat body with stream and usage enabled and all other fields unchanged.
func AsStreamed(body []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "decode chat request")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(fields)
	return out, errors.Wrap(err, "encode chat request")
}
