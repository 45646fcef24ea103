package encoder

// Finish reasons of a complete answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// DoneMarker is the data of the event that ends every complete stream.
const DoneMarker = "[DONE]"

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role" validate:"required,oneof=system developer user assistant tool"`
	Content string `json:"content"`
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// ChatRequest is the body of POST /v1/chat/completions. It holds only the fields that the system reads; others are forwarded
// to the engine unchanged.
type ChatRequest struct {
	Model               string         `json:"model" validate:"required"`
	Messages            []Message      `json:"messages" validate:"required,min=1,dive"`
	MaxTokens           int            `json:"max_tokens,omitempty" validate:"gte=0"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty" validate:"gte=0"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
}

// TokenLimit returns the most tokens that the answer may have, or fallback if the caller sets no limit.
func (r ChatRequest) TokenLimit(fallback int) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return fallback
}

// Usage holds the token counts of a request and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the new text of one chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is the data of one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Choice is the only choice of a completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Completion is a complete answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}
