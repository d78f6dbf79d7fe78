package rate

// Parts is an amount of tokens in the smallest units that are lent.
//
// A small burst is spread over homes that each hold a token or two. If only whole tokens were lent, a
// request would be refused while the homes hold a token between them, each a fraction of it. So a
// waiting request gathers fractions, and is admitted once they add up to a whole token.
type Parts int

// partsPerToken is a power of two, so that sums of parts are exact in floating point.
const partsPerToken Parts = 64

// partsOf returns the parts of a number of whole tokens.
func partsOf(tokens int) Parts { return Parts(tokens) * partsPerToken }

// tokens returns the amount in tokens.
func (p Parts) tokens() float64 { return float64(p) / float64(partsPerToken) }

// partsIn returns the parts in a balance of tokens, rounded down.
func partsIn(tokens float64) Parts { return Parts(tokens * float64(partsPerToken)) }
