package prove

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOfficialClient calls the HTTP interface with the official client library of its format.
func TestOfficialClient(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 2, segmentItems: 10})
	ctx := context.Background()
	client := openai.NewClient(option.WithBaseURL(f.vms[0].url("/v1/")), option.WithAPIKey(kilnKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "card-writer", MaxTokens: openai.Int(9),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("A wreath")},
	}

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 1)
	assert.Equal(t, "card-writer", models.Data[0].ID)

	complete, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	assert.Equal(t, wantText("A wreath", 9), complete.Choices[0].Message.Content)
	assert.Equal(t, "stop", complete.Choices[0].FinishReason)
	assert.EqualValues(t, 9, complete.Usage.CompletionTokens)

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, acc.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, complete.Choices[0].Message.Content, acc.Choices[0].Message.Content)
	assert.EqualValues(t, 9, acc.Usage.CompletionTokens)

	batch := newClientBatch(t, f, client, f.writeBatch(30, 4, 3))
	f.requireBatchComplete(f.vms[1], batch.ID, 30, 4, 1)
	got, err := client.Batches.Get(ctx, batch.ID)
	require.NoError(t, err)
	assert.EqualValues(t, 29, got.RequestCounts.Completed)
	content, err := client.Files.Content(ctx, got.OutputFileID)
	require.NoError(t, err)
	raw, err := io.ReadAll(content.Body)
	require.NoError(t, err)
	assert.Equal(t, 29, strings.Count(string(raw), "\n"))

	second := newClientBatch(t, f, client, f.writeBatch(400, 60))
	cancelled, err := client.Batches.Cancel(ctx, second.ID)
	require.NoError(t, err)
	assert.EqualValues(t, "cancelled", cancelled.Status)
	page, err := client.Batches.List(ctx, openai.BatchListParams{Limit: openai.Int(1)})
	require.NoError(t, err)
	assert.Len(t, page.Data, 1)
	assert.True(t, page.HasMore)
}

func newClientBatch(t *testing.T, _ *fleet, client openai.Client, path string) *openai.Batch {
	t.Helper()
	file, err := os.Open(path)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	up, err := client.Files.New(context.Background(), openai.FileNewParams{File: file, Purpose: openai.FilePurposeBatch})
	require.NoError(t, err)
	batch, err := client.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID: up.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	require.NoError(t, err)
	return batch
}

type badCase struct {
	Name    string `yaml:"name"`
	Method  string `yaml:"method"`
	Path    string `yaml:"path"`
	Key     string `yaml:"key"`
	Body    string `yaml:"body"`
	Repeat  int    `yaml:"repeat"`
	Header  string `yaml:"header"`
	Status  int    `yaml:"status"`
	Field   string `yaml:"field"`
	Detail  string `yaml:"detail"`
	Upload  string `yaml:"upload"`
	Timeout string `yaml:"timeout"`
}

// TestBadInput sends the invalid requests of testdata/bad_input.yaml; each must be refused with its error and have no effect.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 1, engines: 1})
	raw, err := os.ReadFile(filepath.Join("testdata", "bad_input.yaml"))
	require.NoError(t, err)
	cases := []badCase{}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.Name, " ", "_"), func(t *testing.T) {
			key := map[string]string{"": kilnKey, "wrong": "no-such-key"}[c.Key]
			got := answer{}
			if c.Upload != "" {
				file := filepath.Join(t.TempDir(), "lines.jsonl")
				require.NoError(t, os.WriteFile(file, []byte(c.Upload), 0o600))
				out, err := f.cli(f.vms[0], key, "batch", "submit", file)
				require.Error(t, err)
				assert.Contains(t, out, c.Detail)
				return
			}
			body := c.Body + strings.Repeat("x", c.Repeat)
			got = f.do(f.vms[0], call{method: c.Method, path: c.Path, key: key, body: body, timeout: c.Timeout})
			assert.Equal(t, c.Status, got.status, got.body)
			assert.Equal(t, "notRun", got.outcome)
			assert.Equal(t, c.Field, got.problem.Field)
			assert.Contains(t, got.problem.Detail, c.Detail)
			assert.Equal(t, got.problem.Detail, got.problem.Error.Message, "clients of the published format read the message there")
		})
	}
	assert.Zero(t, f.executions(0))
	assert.Empty(t, f.ledger())
	files := f.do(f.vms[0], call{method: http.MethodGet, path: "/v1/files", key: kilnKey})
	assert.Contains(t, files.body, `"data":[]`)
}

// TestAccountsAreIsolated has one account request the files, batch and stored answer of another.
func TestAccountsAreIsolated(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 1, engines: 1, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(10, 2))
	f.requireBatchComplete(f.vms[0], id, 10, 2, 0)
	for _, path := range []string{
		"/v1/batches/" + id, "/v1/files/file-out-" + strings.TrimPrefix(id, "batch_") + "/content",
		"/v1/files/file-out-" + strings.TrimPrefix(id, "batch_"),
	} {
		assert.Equal(t, http.StatusNotFound, f.do(f.vms[0], call{method: http.MethodGet, path: path, key: counterKey}).status, path)
	}
	cancel := f.do(f.vms[0], call{method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", key: counterKey})
	assert.Equal(t, http.StatusNotFound, cancel.status)
	f.book(f.vms[0], "k1", "kiln 1")
	other := f.do(f.vms[0], call{
		method: http.MethodPost, path: "/services/booking/bookings", key: counterKey, body: "kiln 1", idempotencyKey: "k1",
	})
	assert.Equal(t, `{"booking":1}`, strings.TrimSpace(other.body))
	assert.Equal(t, map[string]int{"kiln 1": 2}, f.ledger(), "the same idempotency key of another account is another booking")
	wrongOperator, err := f.cli(f.vms[0], kilnKey, "status")
	require.Error(t, err)
	assert.Contains(t, wrongOperator, "operator's key")
}
