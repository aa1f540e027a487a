package claim

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const randomPart = "0123456789abcdef"

func TestParseKey(t *testing.T) {
	origin := Origin{Domain: "larisa-hall", Instance: "lar.1", Incarnation: 0xbeef}
	good := Key{Origin: origin, Issued: 0x1234, Random: randomPart}
	cases := []struct {
		name, text string
		field      Field
		offset     int
	}{
		{"round trip", good.String(), "", 0},
		{"too few fields", "lw1.larisa-hall.lar_1.beef." + randomPart, FieldWhole, 0},
		{"too many fields", good.String() + ".1", FieldWhole, 0},
		{"too long", good.String() + strings.Repeat("0", MaxKeyLength), FieldWhole, MaxKeyLength},
		{"empty domain", "lw1..lar_1.beef.1234." + randomPart, FieldDomain, 4},
		{"upper case in a name", "lw1.larisa-hall.Lar.beef.1234." + randomPart, FieldInstance, 16},
		{"incarnation not hexadecimal", "lw1.a.b.xyz.1234." + randomPart, FieldIncarnation, 8},
		{"leading zero", "lw1.a.b.0beef.1234." + randomPart, FieldIncarnation, 8},
		{"time beyond 63 bits", "lw1.a.b.1.ffffffffffffffff." + randomPart, FieldIssued, 10},
		{"short random part", "lw1.a.b.1.2.0123456789abcde", FieldRandom, 12},
		{"random part not hexadecimal", "lw1.a.b.1.2.0123456789abcdeg", FieldRandom, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			key, err := ParseKey(c.text)
			if c.field == "" {
				is.NoErr(err)
				is.Equal(key, good)
				return
			}
			var fault *KeyError
			is.True(errors.As(err, &fault))
			is.Equal(fault.Field, c.field)
			is.Equal(fault.Offset, c.offset)
		})
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("lw1.larisa-hall.lar_1.beef.1234." + randomPart)
	f.Add("lw1.....")
	f.Add("lw1.a.b.0.0.ffffffffffffffff")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		var fault *KeyError
		if err != nil && !errors.As(err, &fault) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && key.String() != text {
			t.Fatalf("%q parsed and written is %q", text, key.String())
		}
	})
}
