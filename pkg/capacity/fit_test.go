package capacity_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/capacity"
)

const output = `goos: linux
BenchmarkMerge/domains=1-12   	 100	 110 ns/op	 16 B/op
BenchmarkMerge/domains=11-12  	 100	 210 ns/op	 16 B/op
BenchmarkMerge/domains=41-12  	 100	 510 ns/op	 16 B/op
BenchmarkMerge/domains=41-12  	 100	 530 ns/op	 16 B/op
BenchmarkMerge/domains=41-12  	 100	 500 ns/op	 16 B/op
BenchmarkFixed-12             	 100	 7 ns/op
BenchmarkOnce/nodes=3-12      	 100	 7 ns/op
PASS
`

func TestReadUsesMediansOfSizedBenchmarks(t *testing.T) {
	is := is.New(t)
	all, err := capacity.Read(strings.NewReader(output))
	is.NoErr(err)
	is.Equal(len(all), 3) // Merge in two units, Once in one; Fixed has no size
	merge := all[1]
	is.Equal(merge.Unit, "ns/op")
	is.Equal(merge.Dimension, "domains")
	is.Equal(merge.Points, []capacity.Point{{Size: 1, Value: 110}, {Size: 11, Value: 210}, {Size: 41, Value: 510}})
	line, err := merge.Fit()
	is.NoErr(err)
	is.True(math.Abs(line.Slope-10) < 1e-9)
	is.True(math.Abs(line.Intercept-100) < 1e-9)
	is.True(math.Abs(line.At(380)-3900) < 1e-6)
	is.True(line.R2 > 0.999)
}

func TestFitRejectsASinglePoint(t *testing.T) {
	is := is.New(t)
	all, err := capacity.Read(strings.NewReader(output))
	is.NoErr(err)
	_, err = all[2].Fit()
	var seriesError *capacity.SeriesError
	is.True(errors.As(err, &seriesError))
	is.Equal(seriesError.Points, 1)
}
