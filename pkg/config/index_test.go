package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
)

func TestMatch(t *testing.T) {
	decl := sample()
	decl.Services = append(decl.Services, config.Service{
		Name: "sleeplog-old", Prefix: "/sleeplog/old/", Regions: []string{"makedonia"},
		Routes: []config.Route{
			{Method: "POST", Path: "*", Repeatable: true},
			{Method: "POST", Path: "uploads"},
			{Method: "POST", Path: "uploads/drafts/*", Repeatable: true},
			{Method: "POST", Path: "uploads/*"},
		},
	})
	index := config.NewIndex(decl)
	tests := []struct {
		method, path, service, route string
	}{
		{"POST", "/sleeplog/uploads", "sleeplog-api", "uploads"},
		{"GET", "/sleeplog/uploads", "sleeplog-api", ""},
		{"POST", "/sleeplog/uploads/", "sleeplog-api", ""},
		{"GET", "/sleeplog/exports/7/bands", "sleeplog-api", "exports/*"},
		{"GET", "/sleeplog/exports", "sleeplog-api", ""},
		{"POST", "/sleeplog/old/uploads", "sleeplog-old", "uploads"},
		{"POST", "/sleeplog/old/uploads/1", "sleeplog-old", "uploads/*"},
		{"POST", "/sleeplog/old/uploads/drafts/1", "sleeplog-old", "uploads/drafts/*"},
		{"POST", "/sleeplog/old/other", "sleeplog-old", "*"},
		{"POST", "/sleeplog", "", ""},
		{"POST", "/sleeplog/old/x/../uploads", "", ""},
		{"POST", "/sleeplog//uploads", "", ""},
		{"POST", "sleeplog/uploads", "", ""},
		{"POST", "", "", ""},
	}
	for _, test := range tests {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			is := is.New(t)
			service, route := index.Match(test.method, test.path)
			is.Equal(service != nil, test.service != "")
			is.Equal(route != nil, test.route != "")
			if service != nil {
				is.Equal(service.Name, test.service)
			}
			if route != nil {
				is.Equal(route.Path, test.route)
			}
		})
	}
}

func TestIndexLookups(t *testing.T) {
	is := is.New(t)
	index := config.NewIndex(sample())
	caller, ok := index.CallerByKey("key-clinic-review")
	is.True(ok)
	is.Equal(caller.Name, "clinic-review")
	for _, wrong := range []string{"", "key-clinic-revie", config.HashKey("key-clinic-review")} {
		_, ok = index.CallerByKey(wrong)
		is.True(!ok)
	}
	is.Equal(index.Region("larisa-hall"), "thessalia")
	is.Equal(index.Region("nowhere"), "")
	is.Equal(len(index.Pool("lilac-nurse")), 3)
	upstream, ok := index.Upstream("nurse-2")
	is.True(ok)
	is.Equal(upstream.Address, "127.0.0.2:9000")
	is.True(config.Authenticate(sample(), "eleni", "key-eleni"))
	is.True(!config.Authenticate(sample(), "eleni", "key-linh"))
	is.True(!config.Authenticate(sample(), "nobody", ""))
}

func TestDecodeIsBounded(t *testing.T) {
	is := is.New(t)
	huge := &config.Head{Declaration: sample()}
	huge.Declaration.Services[0].Routes = []config.Route{{Path: strings.Repeat("a", 40<<20)}}
	encoded, err := config.EncodeHead(huge)
	is.NoErr(err) // compresses to little
	_, err = config.DecodeHead(encoded)
	is.True(err != nil) // exceeds the limit when decompressed
	_, err = config.DecodeHead([]byte("not gzip"))
	is.True(err != nil)
}
