package encoder

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of a prompt's tokens in one block of an engine's prefix cache.
	BlockTokens = 16

	bytesPerToken = 4
	blockBytes    = BlockTokens * bytesPerToken
)

// PromptText joins a request's messages into the text whose prefixes engines cache.
func PromptText(r ChatRequest) string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return strings.Join(parts, "\n")
}

// CountTokens estimates the number of tokens of a text from its length.
func CountTokens(text string) int {
	return max(1, len(text)/bytesPerToken)
}

// PromptBlocks returns a hash for each full block of the prompt. Each hash also covers the blocks before it, so that prompts
// with the same prefix start with the same hashes.
func PromptBlocks(prompt string) []uint64 {
	blocks := []uint64{}
	h := uint64(0)
	for len(prompt) >= blockBytes {
		h = xxhash.Sum64String(strconv.FormatUint(h, 16) + prompt[:blockBytes])
		blocks = append(blocks, h)
		prompt = prompt[blockBytes:]
	}
	return blocks
}
