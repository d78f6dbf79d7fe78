package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/load/chain"
)

func TestCell(t *testing.T) {
	cases := []struct {
		column            int
		goodput, recovery []float64
		cell              string
	}{
		{0, []float64{1.2}, []float64{0}, "120%"},
		{0, []float64{1.2, 0.9, 1}, []float64{0, 0, 0}, "100% / 90%"},
		{1, []float64{1, 1, 1}, []float64{0.5, 0, 2.25}, "0.50 / 2.25"},
		{1, []float64{1, 1, 1}, []float64{0.5, -1, 2.25}, "2.25 / never"},
	}
	Convey("A cell has the median over the seeds, then the worst value", t, func() {
		for _, c := range cases {
			var results []chain.Result
			for i := range c.goodput {
				results = append(results, chain.Result{Goodput: c.goodput[i], RecoverySeconds: c.recovery[i]})
			}
			So(columns()[c.column].cell(results), ShouldEqual, c.cell)
		}
	})
}
