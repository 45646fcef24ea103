package encoder

// Finish reasons of a whole answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// DoneMarker is the data of the event that ends every whole stream.
const DoneMarker = "[DONE]"

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role" validate:"required,oneof=system developer user assistant tool"`
	Content string `json:"content"`
}

// StreamOptions asks for extras on a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// ChatRequest is the body of POST /v1/chat/completions; fields that the system does not read pass through unchanged.
type ChatRequest struct {
	Model               string         `json:"model" validate:"required"`
	Messages            []Message      `json:"messages" validate:"required,min=1,dive"`
	MaxTokens           int            `json:"max_tokens,omitempty" validate:"gte=0"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty" validate:"gte=0"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
}

// TokenLimit returns the most tokens the answer may have, or fallback when the caller names none.
func (r ChatRequest) TokenLimit(fallback int) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return fallback
}

// Usage counts tokens.
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

// ChunkChoice is the one choice of a chunk.
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

// Choice is the one choice of a whole answer.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}
