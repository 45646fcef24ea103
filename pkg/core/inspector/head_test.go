package inspector

import (
	"errors"
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// headCase is a case of testdata/heads.yaml; absent fields are those of a sound head.
type headCase struct {
	Name   string            `yaml:"name"`
	Method *string           `yaml:"method"`
	Target *string           `yaml:"target"`
	Host   *string           `yaml:"host"`
	ID     *string           `yaml:"id"`
	Header map[string]string `yaml:"header"`
	Want   string            `yaml:"want"`
}

func (c *headCase) head() Head {
	or := func(s *string, sound string) string {
		if s != nil {
			return *s
		}
		return sound
	}
	h := Head{
		Method: or(c.Method, "POST"), Target: or(c.Target, "/a"), Host: or(c.Host, "host.example"), ID: or(c.ID, "1"),
		Header: map[string][]string{"X-Model": {"m"}},
	}
	for name, value := range c.Header {
		h.Header[name] = []string{value}
	}
	return h
}

// TestHeads guards against heads that a server reads as another request, or as several.
func TestHeads(t *testing.T) {
	raw, err := os.ReadFile("testdata/heads.yaml")
	require.NoError(t, err)
	var cases []headCase
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			err := c.head().Check()
			if c.Want == "" {
				assert.NoError(t, err)
				return
			}
			field := (*FieldError)(nil)
			require.True(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, c.Want, field.Field)
		})
	}
}

// TestForwardedHeaders guards against headers of one connection, or of the framing of one message, on another connection.
func TestForwardedHeaders(t *testing.T) {
	got := Forwarded(map[string][]string{
		"Connection": {"close, x-one", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3", "4"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"9"}, "Host": {"other"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
	})
	assert.Equal(t, map[string][]string{"X-Three": {"3", "4"}}, got)
}
