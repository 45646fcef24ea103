package forwarder

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// AsStreamed returns a chat body with stream and usage switched on and all other fields as they were.
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
