package budget

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

const maxAttempts = 3

// callGraph is a random call graph with faults. Its shape and faults depend only on its fields and are the same with a budget and with
// retries per hop.
type callGraph struct {
	seed   uint64
	depth  int
	fanOut int
	// lost and refused are the probabilities in percent that an attempt's response is lost, or the attempt refused.
	lost, refused int
	runs          atomic.Int64
}

// attemptResult is whether an attempt runs and whether its response arrives.
type attemptResult struct {
	runs, answered bool
}

func (g *callGraph) attempt(path uint64) attemptResult {
	r := rand.New(rand.NewPCG(g.seed, path))
	switch n := r.IntN(100); {
	case n < g.lost:
		return attemptResult{runs: r.IntN(2) == 0}
	case n < g.lost+g.refused:
		return attemptResult{answered: true}
	default:
		return attemptResult{runs: true, answered: true}
	}
}

func (g *callGraph) children(path uint64, depth int) int {
	if depth >= g.depth {
		return 0
	}
	return 1 + rand.New(rand.NewPCG(path, g.seed)).IntN(g.fanOut)
}

func childPath(path uint64, call, attempt int) uint64 {
	return path*1_000_003 + uint64(call*maxAttempts+attempt) + 1
}

// callWithBudget makes one sub-call with the runs that it may draw from its parent's account.
func (g *callGraph) callWithBudget(parent *Account, needs *Needs, path uint64, call, depth int) bool {
	for attempt := range maxAttempts {
		runs, wait := parent.Draw(needs.Expect("op", depth))
		for wait != nil {
			<-wait
			runs, wait = parent.Draw(needs.Expect("op", depth))
		}
		if runs == 0 {
			return false
		}
		attemptPath := childPath(path, call, attempt)
		result := g.attempt(attemptPath)
		unused, ok := runs, false
		if result.runs {
			unused, ok = g.run(runs-1, needs, attemptPath, depth)
		}
		if !result.answered {
			parent.Settle(runs, 0)
			continue
		}
		parent.Settle(runs, unused)
		needs.Learn("op", runs, runs-unused, ok)
		if result.runs {
			return ok
		}
	}
	return false
}

// run is one upstream run, which makes all its sub-calls at once.
func (g *callGraph) run(budget int, needs *Needs, path uint64, depth int) (int, bool) {
	g.runs.Add(1)
	account := New(budget)
	var all sync.WaitGroup
	var failed atomic.Bool
	for call := range g.children(path, depth) {
		all.Go(func() {
			if !g.callWithBudget(account, needs, path, call, depth+1) {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	return account.Close(), !failed.Load()
}

// callNaively makes one sub-call with three attempts at each hop and no budget; it stops counting at a bound.
func (g *callGraph) callNaively(path uint64, call, depth int, bound int64) bool {
	for attempt := range maxAttempts {
		attemptPath := childPath(path, call, attempt)
		result := g.attempt(attemptPath)
		ok := true
		if result.runs && g.runs.Add(1) < bound {
			for c := range g.children(attemptPath, depth) {
				ok = g.callNaively(attemptPath, c, depth+1, bound) && ok
			}
		}
		if result.answered && result.runs && ok || g.runs.Load() >= bound {
			return ok
		}
	}
	return false
}

func TestRunsNeverExceedTheBudget(t *testing.T) {
	const bound = 5000
	var exceeded, trials int
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 200).Draw(t, "budget")
		graph := callGraph{
			seed: rapid.Uint64().Draw(t, "seed"), depth: rapid.IntRange(0, MaxDepth-1).Draw(t, "depth"),
			fanOut: rapid.IntRange(1, 4).Draw(t, "fan-out"),
			lost:   rapid.IntRange(0, 50).Draw(t, "lost"), refused: rapid.IntRange(0, 50).Draw(t, "refused"),
		}
		account := New(budget)
		graph.callWithBudget(account, NewNeeds(), 1, 0, 0)
		if runs := graph.runs.Load(); runs > int64(budget) {
			t.Fatalf("%d runs with a budget of %d", runs, budget)
		}
		graph.runs.Store(0)
		graph.callNaively(1, 0, 0, bound)
		trials++
		if graph.runs.Load() > int64(budget) {
			exceeded++
		}
	})
	t.Logf("with three attempts per hop, %d of %d trials exceeded the budget", exceeded, trials)
	if exceeded == 0 {
		t.Fatal("the naive model never exceeded the budget, so the trials show nothing")
	}
}

func TestFaultlessChainsSucceed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		graph := callGraph{seed: rapid.Uint64().Draw(t, "seed"), depth: rapid.IntRange(0, MaxDepth-1).Draw(t, "depth"), fanOut: 1}
		if !graph.callWithBudget(New(MaxDepth), NewNeeds(), 1, 0, 0) {
			t.Fatalf("a chain of %d failed with a budget of %d", graph.depth+1, MaxDepth)
		}
	})
}
