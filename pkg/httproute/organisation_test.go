package httproute_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// TestKeyBelongsToOneOrganisation guards against an owner of requests that depends on the
// order of the declaration.
func TestKeyBelongsToOneOrganisation(t *testing.T) {
	is := is.New(t)
	shared := []httproute.KeyDigest{httproute.DigestKey("k")}
	for _, bad := range [][]httproute.Organisation{
		{{Name: "a", Keys: shared}, {Name: "b", Keys: shared}},
		{{Name: "a"}, {Name: "a"}},
		{{Name: ""}},
	} {
		_, err := httproute.Compile(3, httproute.Limits{}, nil, nil, bad...)
		var fault *httproute.Fault
		is.True(errors.As(err, &fault))
	}
	config, err := httproute.Compile(3, httproute.Limits{}, nil, nil, httproute.Organisation{Name: "b"}, httproute.Organisation{Name: "a", Keys: shared})
	is.NoErr(err)
	is.True(config.Keyed())
	is.Equal(config.Organisations()[0].Name, "a")
	holder, digest := config.KeyOwner("k")
	is.Equal(holder.Name, "a")
	is.Equal(digest, shared[0])
	unknown, _ := config.KeyOwner("K")
	is.Equal(unknown, nil)
}

// TestCost covers requests that declare their tokens and requests that do not.
func TestCost(t *testing.T) {
	is := is.New(t)
	tokens := httproute.UsageLimit{Tokens: true, Plain: 200}
	is.Equal(tokens.Cost(17_000), 17_000)
	is.Equal(tokens.Cost(0), 200)
	is.Equal((&httproute.UsageLimit{Plain: 200}).Cost(17_000), 1)
}
