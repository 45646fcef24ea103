package bencher

import (
	"fmt"
	"io"
	"math"
)

// figure is one line of the report; a figure without a bound is printed for information only.
type figure struct {
	scenario string
	measure  string
	value    float64
	bound    string
	isPass   bool
}

// report prints figures and counts those with a bound.
//
// count is the number of figures with a bound, fails that of figures outside their bound.
type report struct {
	out   io.Writer
	fails int
	count int
}

func (r *report) add(f figure) {
	verdict := "pass"
	switch {
	case f.bound == "":
		f.bound, verdict = "-", "info"
	case !f.isPass:
		verdict = "fail"
		r.fails++
	}
	if verdict != "info" {
		r.count++
	}
	_, _ = fmt.Fprintf(r.out, "%s %s %s %s %s\n", f.scenario, f.measure, format(f.value), f.bound, verdict)
}

func (r *report) atMost(scenario, measure string, value, bound float64) {
	r.add(figure{scenario, measure, value, "<=" + format(bound), !math.IsNaN(value) && value <= bound})
}

func (r *report) atLeast(scenario, measure string, value, bound float64) {
	r.add(figure{scenario, measure, value, ">=" + format(bound), !math.IsNaN(value) && value >= bound})
}

func (r *report) info(scenario, measure string, value float64) {
	r.add(figure{scenario: scenario, measure: measure, value: value})
}

func format(v float64) string {
	return fmt.Sprintf("%.4g", v)
}
