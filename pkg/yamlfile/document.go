// Package yamlfile reads YAML files strictly. Unknown keys, wrong types and
// values that violate a validation rule are faults. All faults of a file are
// returned in one error, each with file, line, key and the expected value.
package yamlfile

import (
	"cmp"
	"errors"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxSize is the size limit of a file, in bytes, equal to that of a value in the
// platform's key-value service.
const MaxSize = 1 << 20

// Document is a file that was read, with the lines of its keys, so that checks
// across several keys can add faults with a line.
type Document struct {
	file   string
	lines  map[string]int
	faults []Fault
}

// Load reads the file and decodes it into the struct that into points to. The
// error is a *ReadError or an *Error with all faults.
func Load(file string, into any) error {
	data, err := ReadFile(file)
	if err != nil {
		return err
	}
	return Decode(file, data, into)
}

// ReadFile reads a file. It returns at most MaxSize+1 bytes, so that Read can
// report a file that is too large. The error is a *ReadError.
func ReadFile(file string) ([]byte, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, &ReadError{File: file, Err: err}
	}
	defer opened.Close()
	data, err := io.ReadAll(io.LimitReader(opened, MaxSize+1))
	if err != nil {
		return nil, &ReadError{File: file, Err: err}
	}
	return data, nil
}

// Decode decodes data into the struct that into points to. The file's name is only
// used in faults. The error is an *Error with all faults.
func Decode(file string, data []byte, into any) error {
	return Read(file, data, into).Err()
}

// Read decodes data like Decode, and returns the document so that further
// faults can be added before Err is called.
func Read(file string, data []byte, into any) *Document {
	doc := &Document{file: file, lines: map[string]int{}}
	if len(data) > MaxSize {
		doc.Add("", "file is too large", "at most "+strconv.Itoa(MaxSize)+" bytes")
		return doc
	}
	root, ok := doc.parse(data)
	if !ok {
		return doc
	}
	doc.decode(root, into)
	doc.validate(into)
	return doc
}

// Add records a fault at the line of the key, or of the nearest key above it.
func (d *Document) Add(key, problem, expected string) {
	d.faults = append(d.faults, Fault{
		File:     d.file,
		Line:     d.lineOf(key),
		Key:      key,
		Problem:  problem,
		Expected: expected,
	})
}

// Has reports whether the file has the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Err returns nil, or an *Error with all faults in the order of their lines.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	faults := slices.Clone(d.faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Faults: faults}
}

// parse returns the root node, or false when there is none.
func (d *Document) parse(data []byte) (*yaml.Node, bool) {
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	var top yaml.Node
	err := decoder.Decode(&top)
	if errors.Is(err, io.EOF) {
		d.Add("", "file is empty", "a mapping")
		return nil, false
	}
	if err != nil {
		d.syntax(err)
		return nil, false
	}
	var second yaml.Node
	if err := decoder.Decode(&second); err == nil {
		d.fault(&second, "", "second document", "one document a file")
		return nil, false
	} else if !errors.Is(err, io.EOF) {
		d.syntax(err)
		return nil, false
	}
	if top.Kind != yaml.DocumentNode || len(top.Content) != 1 {
		d.Add("", "file is empty", "a mapping")
		return nil, false
	}
	return top.Content[0], true
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

// syntax records an error of the YAML parser at the line that it names.
func (d *Document) syntax(err error) {
	text := err.Error()
	line := 0
	if match := syntaxLine.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = text[len(match[0]):]
	}
	text = strings.TrimPrefix(text, "yaml: ")
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Problem: "not YAML: " + text})
}

// fault records a fault at a node.
func (d *Document) fault(node *yaml.Node, key, problem, expected string) {
	d.faults = append(d.faults, Fault{
		File: d.file, Line: node.Line, Key: key, Problem: problem, Expected: expected,
	})
}

// lineOf returns the line of the key, or of the nearest key above it that has one.
func (d *Document) lineOf(key string) int {
	for {
		if line, ok := d.lines[key]; ok {
			return line
		}
		if key == "" {
			return 0
		}
		key = parent(key)
	}
}

// parent returns the key path without its last element.
func parent(key string) string {
	if strings.HasSuffix(key, "]") {
		return key[:max(0, strings.LastIndex(key, "["))]
	}
	return key[:max(0, strings.LastIndex(key, "."))]
}
