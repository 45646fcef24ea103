package retrier

const (
	startTokens = 1.0
	maxTokens   = 10.0
)

// Budget earns a fraction of a retry for each request and spends one for each retry.
type Budget struct {
	ratio  float64
	tokens float64
}

// NewBudget returns a budget of ratio retries for each request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: startTokens}
}

// SetRatio changes the ratio for later requests.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = ratio
}

// Offer counts one new request.
func (b *Budget) Offer() {
	b.tokens = min(maxTokens, b.tokens+b.ratio)
}

// Take spends one retry and reports whether the budget had it.
func (b *Budget) Take() bool {
	if b.tokens < 1 || b.ratio == 0 {
		return false
	}
	b.tokens--
	return true
}
