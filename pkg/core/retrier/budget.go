package retrier

const (
	startTokens = 1.0
	// maxTokens bounds the burst of retries after a time without any.
	maxTokens = 10.0
)

// Budget is a token bucket: each request adds a fraction of a token, and each retry takes a whole one.
type Budget struct {
	ratio  float64
	tokens float64
}

// NewBudget returns a budget that allows ratio retries per request on average.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: startTokens}
}

// SetRatio sets the ratio for later requests; 0 allows no retry.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = ratio
}

// AddRequest adds the share of a token for one new request.
func (b *Budget) AddRequest() {
	b.tokens = min(maxTokens, b.tokens+b.ratio)
}

// Take takes the token for one retry, and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 || b.ratio == 0 {
		return false
	}
	b.tokens--
	return true
}
