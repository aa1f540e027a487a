package prefix_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/prefix"
)

func TestHashesCoverPrefixes(t *testing.T) {
	is := is.New(t)
	long := prefix.Hashes([]prefix.Message{{Role: "system", Content: "you help nurses"}, {Role: "user", Content: "hi"}})
	short := prefix.Hashes([]prefix.Message{{Role: "system", Content: "you help nurses"}, {Role: "user", Content: "ho"}})
	is.Equal(long[0], short[0])
	is.True(long[1] != short[1])
	moved := prefix.Hashes([]prefix.Message{{Role: "systemy", Content: "ou help nurses"}})
	is.True(moved[0] != long[0])
	is.Equal(prefix.Tokens([]prefix.Message{{Content: "12345"}, {Content: "1234"}}), 3)
}
