package capacity

import (
	"fmt"
	"slices"
)

// Measured holds the series of a recorded run.
type Measured struct{ series []Series }

// NewMeasured returns the series for look-ups.
func NewMeasured(series []Series) *Measured { return &Measured{series: series} }

// MissingError is a series that a figure is worked out from and that the recorded
// run does not have.
type MissingError struct {
	// Benchmark, Dimension and Unit name the series.
	Benchmark, Dimension, Unit string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("no series %s/%s in %s", e.Benchmark, e.Dimension, e.Unit)
}

// Line returns a series' fit.
func (m *Measured) Line(benchmark, dimension, unit string) (Line, error) {
	index := slices.IndexFunc(m.series, func(s Series) bool {
		return s.Benchmark == benchmark && s.Dimension == dimension && s.Unit == unit
	})
	if index < 0 {
		return Line{}, &MissingError{Benchmark: benchmark, Dimension: dimension, Unit: unit}
	}
	return m.series[index].Fit()
}

// solver reads values off lines and keeps the first error, so that formulas stay
// readable.
type solver struct {
	measured *Measured
	err      error
}

func (s *solver) line(benchmark, dimension, unit string) Line {
	line, err := s.measured.Line(benchmark, dimension, unit)
	if err != nil && s.err == nil {
		s.err = err
	}
	return line
}

// at is a series' line at a size.
func (s *solver) at(benchmark, dimension, unit string, size float64) float64 {
	return s.line(benchmark, dimension, unit).At(size)
}

// slope is what one more costs.
func (s *solver) slope(benchmark, dimension, unit string) float64 {
	return s.line(benchmark, dimension, unit).Slope
}
