package capacity

import (
	"fmt"
	"slices"
)

// Measured is the series of a recorded run.
type Measured struct{ series []Series }

// NewMeasured returns the given series for lookups.
func NewMeasured(series []Series) *Measured { return &Measured{series: series} }

// MissingError is returned for a series that an estimate needs and that the recorded run
// does not have.
type MissingError struct {
	// Benchmark, Dimension and Unit name the series.
	Benchmark, Dimension, Unit string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("no series %s/%s in %s", e.Benchmark, e.Dimension, e.Unit)
}

// Line returns the fit of a series.
func (m *Measured) Line(benchmark, dimension, unit string) (Line, error) {
	index := slices.IndexFunc(m.series, func(s Series) bool {
		return s.Benchmark == benchmark && s.Dimension == dimension && s.Unit == unit
	})
	if index < 0 {
		return Line{}, &MissingError{Benchmark: benchmark, Dimension: dimension, Unit: unit}
	}
	return m.series[index].Fit()
}

// solver evaluates fitted lines and records the first error, which keeps formulas
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

// at returns the value of a series' line at a size.
func (s *solver) at(benchmark, dimension, unit string, size float64) float64 {
	return s.line(benchmark, dimension, unit).At(size)
}

// slope returns the cost of one more unit of the dimension.
func (s *solver) slope(benchmark, dimension, unit string) float64 {
	return s.line(benchmark, dimension, unit).Slope
}
