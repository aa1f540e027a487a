// Package capacity estimates the cost of each role at a given size of deployment, by
// extrapolating the project's benchmark results linearly.
package capacity

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// Point is a measured value at one size.
type Point struct {
	// Size is the number in the sub-benchmark's name, as in "nodes=9".
	Size float64
	// Value is in the unit of the series.
	Value float64
}

// Series is one metric of one benchmark at several sizes.
type Series struct {
	// Benchmark is the name without "Benchmark" and without the size.
	Benchmark string
	// Dimension is the name of the size, for example "nodes".
	Dimension string
	// Unit is the metric's unit as the benchmark printed it, for example "ns/op".
	Unit string
	// Points are in ascending size. A repeated size has the median of its values.
	Points []Point
}

// Line is a least-squares fit, value = Intercept + Slope * size.
type Line struct {
	Intercept, Slope float64
	// R2 is the coefficient of determination, 1 for a perfect fit.
	R2 float64
}

// At returns the fitted value at a size, never below zero.
func (l Line) At(size float64) float64 {
	return math.Max(0, l.Intercept+l.Slope*size)
}

// SeriesError is returned for a series with too few sizes for a fit.
type SeriesError struct {
	// Benchmark and Unit name the series.
	Benchmark, Unit string
	// Points is the number of sizes measured.
	Points int
}

// Error implements error.
func (e *SeriesError) Error() string {
	return fmt.Sprintf("series %s %s: %d sizes measured, expected at least 2", e.Benchmark, e.Unit, e.Points)
}

// minPoints is the number of sizes that a line needs.
const minPoints = 2

// Fit returns the least-squares line through the series.
func (s Series) Fit() (Line, error) {
	if len(s.Points) < minPoints {
		return Line{}, &SeriesError{Benchmark: s.Benchmark, Unit: s.Unit, Points: len(s.Points)}
	}
	meanX, meanY := s.means()
	var sxx, sxy, syy float64
	for _, point := range s.Points {
		dx := point.Size - meanX
		dy := point.Value - meanY
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	line := Line{Slope: sxy / sxx, R2: 1}
	line.Intercept = meanY - line.Slope*meanX
	if syy > 0 {
		line.R2 = sxy * sxy / (sxx * syy)
	}
	return line, nil
}

func (s Series) means() (x, y float64) {
	for _, point := range s.Points {
		x += point.Size
		y += point.Value
	}
	count := float64(len(s.Points))
	return x / count, y / count
}

// sized matches the name of a sub-benchmark with a size, as in
// "BenchmarkMerge/domains=41-12".
var sized = regexp.MustCompile(`^Benchmark(\S*?)/([a-z_]+)=(\d+)(\S*?)(?:-\d+)?$`)

// seriesKey identifies a series while benchmark output is read.
type seriesKey struct{ benchmark, dimension, unit string }

// Read parses the series of `go test -bench` output. Lines that are not results of a
// sized benchmark are skipped.
func Read(r io.Reader) ([]Series, error) {
	values := make(map[seriesKey]map[float64][]float64)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		readLine(scanner.Text(), values)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("benchmark output: %w", err)
	}
	return collect(values), nil
}

func readLine(line string, values map[seriesKey]map[float64][]float64) {
	fields := strings.Fields(line)
	if len(fields) < 4 {
		return
	}
	match := sized.FindStringSubmatch(fields[0])
	if match == nil {
		return
	}
	size, err := strconv.ParseFloat(match[3], 64)
	if err != nil {
		return
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return
		}
		key := seriesKey{benchmark: match[1] + match[4], dimension: match[2], unit: fields[i+1]}
		if values[key] == nil {
			values[key] = make(map[float64][]float64)
		}
		values[key][size] = append(values[key][size], value)
	}
}

func collect(values map[seriesKey]map[float64][]float64) []Series {
	all := make([]Series, 0, len(values))
	for key, bySize := range values {
		series := Series{Benchmark: key.benchmark, Dimension: key.dimension, Unit: key.unit}
		for size, repeated := range bySize {
			series.Points = append(series.Points, Point{Size: size, Value: median(repeated)})
		}
		sort.Slice(series.Points, func(i, j int) bool { return series.Points[i].Size < series.Points[j].Size })
		all = append(all, series)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Benchmark != all[j].Benchmark {
			return all[i].Benchmark < all[j].Benchmark
		}
		return all[i].Unit < all[j].Unit
	})
	return all
}

func median(values []float64) float64 {
	sort.Float64s(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// WriteTable writes each series with its points and its fitted line, as Markdown.
func WriteTable(w io.Writer, all []Series) error {
	if _, err := fmt.Fprint(w, "| benchmark | unit | points (size: value) | fit | R² |\n|---|---|---|---|---|\n"); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	for _, series := range all {
		line, err := series.Fit()
		if err != nil {
			continue
		}
		_, err = fmt.Fprintf(w, "| %s | %s | %s | %.4g + %.4g × %s | %.3f |\n",
			series.Benchmark, series.Unit, series.points(), line.Intercept, line.Slope, series.Dimension, line.R2)
		if err != nil {
			return fmt.Errorf("table: %w", err)
		}
	}
	return nil
}

func (s Series) points() string {
	texts := make([]string, len(s.Points))
	for i, point := range s.Points {
		texts[i] = fmt.Sprintf("%g: %.4g", point.Size, point.Value)
	}
	return strings.Join(texts, ", ")
}
