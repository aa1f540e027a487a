package logging_test

import (
	"bytes"
	"errors"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/logging"
)

func TestNewWritesOneLineOfPairs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := logging.New(&out, "gateway", "kal-1", "")
	is.NoErr(err)
	log.Info().Str("request", "r 1").Int("status", 200).Msg("request-complete")
	log.Debug().Msg("hidden")
	line := regexp.MustCompile(`^time=\S+Z level=info event=request-complete instance=kal-1 program=gateway request="r 1" status=200\n$`)
	is.True(line.Match(out.Bytes())) // one line, pairs only
}

func TestNewRefusesUnknownLevel(t *testing.T) {
	is := is.New(t)
	_, err := logging.New(&bytes.Buffer{}, "gateway", "kal-1", "loud")
	var levelError *logging.LevelError
	is.True(errors.As(err, &levelError))
	is.Equal(levelError.Level, "loud")
}

func TestCallerIsWrittenAsAPair(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := logging.New(&out, "gateway", "kal-1", "")
	is.NoErr(err)
	log.Info().Str("caller", "residents-app").Str("source", "mesh").Msg("request-ended")
	line := regexp.MustCompile(`^time=\S+Z level=info event=request-ended caller=residents-app instance=kal-1 program=gateway source=mesh\n$`)
	is.True(line.Match(out.Bytes())) // the name of a caller is a pair like any other
}
