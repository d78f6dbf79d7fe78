package budget

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

const tries = 3

// tree is a request's call graph: the same shape and faults for both ways of repeating.
type tree struct {
	seed   uint64
	depth  int
	fanOut int
	// lost and refused are the chances of an attempt in 100.
	lost, refused int
	runs          atomic.Int64
}

// fate is what happens to one attempt.
type fate struct {
	runs, answered bool
}

func (t *tree) fate(path uint64) fate {
	r := rand.New(rand.NewPCG(t.seed, path))
	switch n := r.IntN(100); {
	case n < t.lost:
		return fate{runs: r.IntN(2) == 0}
	case n < t.lost+t.refused:
		return fate{answered: true}
	default:
		return fate{runs: true, answered: true}
	}
}

func (t *tree) children(path uint64, depth int) int {
	if depth >= t.depth {
		return 0
	}
	return 1 + rand.New(rand.NewPCG(path, t.seed)).IntN(t.fanOut)
}

func child(path uint64, call, attempt int) uint64 {
	return path*1_000_003 + uint64(call*tries+attempt) + 1
}

// budgeted runs one hop's call with what it may draw from the account above it.
func (t *tree) budgeted(above *Account, needs *Needs, path uint64, call, depth int) bool {
	for attempt := range tries {
		runs, wait := above.Draw(needs.Expect("op", depth))
		for wait != nil {
			<-wait
			runs, wait = above.Draw(needs.Expect("op", depth))
		}
		if runs == 0 {
			return false
		}
		p := child(path, call, attempt)
		f := t.fate(p)
		left, ok := runs, false
		if f.runs {
			left, ok = t.run(runs-1, needs, p, depth)
		}
		if !f.answered {
			above.Settle(runs, 0)
			continue
		}
		above.Settle(runs, left)
		needs.Learn("op", runs, runs-left, ok)
		if f.runs {
			return ok
		}
	}
	return false
}

// run is one upstream run, which makes all its calls at once.
func (t *tree) run(budget int, needs *Needs, path uint64, depth int) (int, bool) {
	t.runs.Add(1)
	account := New(budget)
	var all sync.WaitGroup
	var failed atomic.Bool
	for call := range t.children(path, depth) {
		all.Go(func() {
			if !t.budgeted(account, needs, path, call, depth+1) {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	return account.Close(), !failed.Load()
}

// naive is the same with three tries at each hop and no budget; it stops counting at a bound.
func (t *tree) naive(path uint64, call, depth int, bound int64) bool {
	for attempt := range tries {
		p := child(path, call, attempt)
		f := t.fate(p)
		ok := true
		if f.runs && t.runs.Add(1) < bound {
			for c := range t.children(p, depth) {
				ok = t.naive(p, c, depth+1, bound) && ok
			}
		}
		if f.answered && f.runs && ok || t.runs.Load() >= bound {
			return ok
		}
	}
	return false
}

func TestRunsNeverExceedTheBudget(t *testing.T) {
	const bound = 5000
	var worse, trials int
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 200).Draw(t, "budget")
		tr := tree{
			seed: rapid.Uint64().Draw(t, "seed"), depth: rapid.IntRange(0, MaxDepth-1).Draw(t, "depth"),
			fanOut: rapid.IntRange(1, 4).Draw(t, "fan-out"),
			lost:   rapid.IntRange(0, 50).Draw(t, "lost"), refused: rapid.IntRange(0, 50).Draw(t, "refused"),
		}
		account := New(budget)
		tr.budgeted(account, NewNeeds(), 1, 0, 0)
		if runs := tr.runs.Load(); runs > int64(budget) {
			t.Fatalf("%d runs with a budget of %d", runs, budget)
		}
		tr.runs.Store(0)
		tr.naive(1, 0, 0, bound)
		trials++
		if tr.runs.Load() > int64(budget) {
			worse++
		}
	})
	t.Logf("with three tries a hop, %d of %d trials ran more often than the budget", worse, trials)
	if worse == 0 {
		t.Fatal("the naive model never exceeded the budget, so the trials show nothing")
	}
}

func TestFaultlessChainsSucceed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := tree{seed: rapid.Uint64().Draw(t, "seed"), depth: rapid.IntRange(0, MaxDepth-1).Draw(t, "depth"), fanOut: 1}
		if !tr.budgeted(New(MaxDepth), NewNeeds(), 1, 0, 0) {
			t.Fatalf("a chain of %d failed with a budget of %d", tr.depth+1, MaxDepth)
		}
	})
}
