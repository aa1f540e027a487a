//go:build deps

// Package deps keeps libraries in go.mod until their first use lands.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/chzyer/readline"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/labstack/echo/v4"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
