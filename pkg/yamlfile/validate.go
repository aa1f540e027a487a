package yamlfile

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
)

// Problem is a value that violates a validation rule.
type Problem struct {
	// Key is the path of the key, for example "upstreams[3].domain".
	Key string
	// Found describes the value, Expected the value that the rule requires.
	Found, Expected string
}

// MaxName is the length limit of names, in bytes, so that one fits a line of a
// phone.
const MaxName = 40

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	keyHashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// rules returns the validator with the additional tags name, hostport and keyhash.
var rules = sync.OnceValue(func() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(yamlName)
	register(rules, "name", IsName)
	register(rules, "hostport", IsHostPort)
	register(rules, "keyhash", keyHashPattern.MatchString)
	return rules
})

func register(rules *validator.Validate, tag string, valid func(string) bool) {
	check := func(field validator.FieldLevel) bool { return valid(field.Field().String()) }
	if err := rules.RegisterValidation(tag, check); err != nil {
		panic(err)
	}
}

// IsName reports whether text is a name. Names consist of lower-case letters,
// digits, "-" and ".", start and end with a letter or digit, and have at most
// MaxName bytes.
func IsName(text string) bool {
	return len(text) <= MaxName && namePattern.MatchString(text)
}

// IsHostPort reports whether text is an IP address and a port.
func IsHostPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// Check validates a struct by its tags and returns every problem.
func Check(value any) []Problem {
	err := rules().Struct(value)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return nil
	}
	problems := make([]Problem, 0, len(failed))
	for _, field := range failed {
		_, key, _ := strings.Cut(field.Namespace(), ".")
		problems = append(problems, Problem{Key: key, Found: found(field), Expected: expectation(field)})
	}
	return problems
}

// validate adds a fault for each violated rule, except for keys that already have
// a fault.
func (d *Document) validate(into any) {
	for _, problem := range Check(into) {
		if !d.hasFault(problem.Key) {
			d.Add(problem.Key, problem.Found, problem.Expected)
		}
	}
}

// hasFault reports whether the key, one above it or the whole file has a fault.
func (d *Document) hasFault(key string) bool {
	for _, fault := range d.faults {
		if fault.Key == "" || fault.Key == key || within(key, fault.Key) {
			return true
		}
	}
	return false
}

func within(key, above string) bool {
	rest, ok := strings.CutPrefix(key, above)
	return ok && (strings.HasPrefix(rest, ".") || strings.HasPrefix(rest, "["))
}

func found(field validator.FieldError) string {
	value := reflect.ValueOf(field.Value())
	switch {
	case field.Tag() == "required":
		return "missing"
	case field.Tag() == "keyhash":
		return "not a hash" // not quoted, since the value may be the key itself
	case value.Kind() == reflect.String:
		return "got " + quote(value.String())
	case value.Kind() == reflect.Slice:
		return fmt.Sprintf("got %d entries", value.Len())
	default:
		return fmt.Sprintf("got %v", field.Value())
	}
}

// expectation returns a readable description of a rule's requirement.
func expectation(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "a value"
	case "name":
		return fmt.Sprintf("a name of lower-case letters, digits, - and . (at most %d)", MaxName)
	case "hostport":
		return "an IP number and a port, like 127.0.0.1:8080"
	case "keyhash":
		return "sha256: and 64 hexadecimal digits"
	case "gte":
		return "at least " + field.Param()
	case "lte":
		return "at most " + field.Param()
	case "min":
		return "at least " + field.Param() + " entries"
	case "oneof":
		return "one of " + strings.ReplaceAll(field.Param(), " ", ", ")
	case "startswith":
		return "a start of " + field.Param()
	case "endswith":
		return "an end of " + field.Param()
	case "nefield":
		return "another value than " + strings.ToLower(field.Param())
	default:
		return strings.TrimSpace(field.Tag() + " " + field.Param())
	}
}
