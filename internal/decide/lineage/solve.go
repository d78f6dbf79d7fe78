package lineage

// solution is a least-squares solution over some routes.
type solution struct {
	routes []int
	// rate has the sub-calls a second of one active run, spread the squares of their standard errors for a variance of 1.
	rate, spread []float64
	// residual is the sum of squares that the solution leaves, variance that of one interval.
	residual, variance float64
}

// solve returns the non-negative least-squares solution: routes with negative solutions are left out, the lowest first.
func (f *fit) solve(t *fitTarget, routes []int) solution {
	for {
		s := f.solveAll(t, routes)
		lowest := -1
		for n, rate := range s.rate {
			if rate < 0 && (lowest < 0 || rate < s.rate[lowest]) {
				lowest = n
			}
		}
		if lowest < 0 {
			return s
		}
		kept := append([]int(nil), routes[:lowest]...)
		routes = append(kept, routes[lowest+1:]...)
	}
}

func (f *fit) solveAll(t *fitTarget, routes []int) solution {
	s := solution{routes: routes, rate: make([]float64, len(routes)), spread: make([]float64, len(routes)), residual: t.square}
	inverse := f.inverse(routes)
	for n := range routes {
		for m, j := range routes {
			s.rate[n] += inverse[n][m] * t.products[j]
		}
		s.spread[n] = inverse[n][n]
	}
	for n, i := range routes {
		s.residual -= s.rate[n] * t.products[i]
	}
	s.residual = max(s.residual, 0)
	s.variance = max(s.residual/max(f.intervals-float64(len(routes)), 1), minVariance)
	return s
}

// ridge is added to the diagonal, relative to it: routes whose runs are always proportional get an inverse so large that neither is certain.
const ridge = 1e-6

// inverse returns the inverse of the products of the routes, by Gauss-Jordan elimination.
func (f *fit) inverse(routes []int) [][]float64 {
	size := len(routes)
	rows := make([][]float64, size)
	for n, i := range routes {
		rows[n] = make([]float64, 2*size)
		for m, j := range routes {
			rows[n][m] = f.products[i][j]
		}
		rows[n][n] *= 1 + ridge
		rows[n][size+n] = 1
	}
	for n := range rows {
		scale(rows[n], 1/rows[n][n])
		for m := range rows {
			if m != n {
				subtract(rows[m], rows[n], rows[m][n])
			}
		}
	}
	for n := range rows {
		rows[n] = rows[n][size:]
	}
	return rows
}

func scale(row []float64, factor float64) {
	for i := range row {
		row[i] *= factor
	}
}

func subtract(row, other []float64, factor float64) {
	for i := range row {
		row[i] -= factor * other[i]
	}
}
