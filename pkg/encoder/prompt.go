package encoder

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is how many tokens of a prompt one cached block holds.
	BlockTokens = 16

	bytesPerToken = 4
	blockBytes    = BlockTokens * bytesPerToken
)

// PromptText joins the messages of a request into the text whose prefixes engines cache.
func PromptText(r ChatRequest) string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return strings.Join(parts, "\n")
}

// CountTokens estimates the tokens of a text.
func CountTokens(text string) int {
	return max(1, len(text)/bytesPerToken)
}

// PromptBlocks returns a chained hash for each full block of the prompt, so that equal prefixes have equal hashes.
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
