package rate

// Parts is an amount of tokens in the smallest pieces that are lent.
//
// A small burst is spread over homes that each hold a token or two. Were only whole tokens lent, a
// request would be refused while the homes together have one, each a fraction of it. So a
// waiting request gathers fractions, and is admitted once it has a whole token.
type Parts int

// perToken is a power of two, so that sums of parts are exact as floating point.
const perToken Parts = 64

// whole returns the parts of a number of tokens.
func whole(tokens int) Parts { return Parts(tokens) * perToken }

// tokens returns the amount in tokens.
func (p Parts) tokens() float64 { return float64(p) / float64(perToken) }

// partsIn returns the parts in a balance of tokens, rounded down.
func partsIn(tokens float64) Parts { return Parts(tokens * float64(perToken)) }
