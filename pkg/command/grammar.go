// Package command is the operators' language: one line asks or changes, one
// reply of at most 40 columns by 12 lines answers. Words and names may be
// shortened to any unique prefix.
//
// Guarantee: a reply says that a change was accepted, refused or neither known
// only where package config said so, and "in force" counts only what instances
// reported.
package command

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Line is a parsed line. Exactly one of the pointers is set.
type Line struct {
	Status  *Status  `parser:"( @@"`
	Pools   *Pools   `parser:"| @@"`
	Who     *Who     `parser:"| @@"`
	Log     *Log     `parser:"| @@"`
	Why     *Why     `parser:"| @@"`
	Help    *Help    `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Undrain *Undrain `parser:"| @@"`
	Spill   *Spill   `parser:"| @@"`
	Permit  *Permit  `parser:"| @@"`
	Forbid  *Forbid  `parser:"| @@"`
	Version *Version `parser:"| @@"`
	Undo    *Undo    `parser:"| @@ )"`
	// Force is the trailing "!" that a dangerous change needs.
	Force bool `parser:"@'!'?"`
}

// Name is a name or number with its place in the line.
type Name struct {
	Pos  lexer.Position `parser:""`
	Text string         `parser:"@Word"`
}

// Percent is a share like 20%.
type Percent struct {
	Pos  lexer.Position `parser:""`
	Text string         `parser:"@Percent"`
}

// Status asks for the state of everything, or of one failure domain.
type Status struct {
	Word   string `parser:"@'st'"`
	Domain *Name  `parser:"@@?"`
}

// Pools asks for upstreams: all pools, one pool, or one upstream.
type Pools struct {
	Word string `parser:"@'up'"`
	Name *Name  `parser:"@@?"`
}

// Who asks for the callers and operators, or for one caller.
type Who struct {
	Word   string `parser:"@'who'"`
	Caller *Name  `parser:"@@?"`
}

// Log asks for the last changes: how many, and which word they contain.
type Log struct {
	Word   string `parser:"@'log'"`
	First  *Name  `parser:"@@?"`
	Second *Name  `parser:"@@?"`
}

// Why asks what became of a request, a change or a revision.
type Why struct {
	Word    string `parser:"@'why'"`
	Subject Name   `parser:"@@"`
}

// Help asks for the commands.
type Help struct {
	Word string `parser:"@'help'"`
}

// Drain takes an upstream out of service.
type Drain struct {
	Word     string `parser:"@'drain'"`
	Upstream Name   `parser:"@@"`
}

// Undrain puts an upstream back into service.
type Undrain struct {
	Word     string `parser:"@'undrain'"`
	Upstream Name   `parser:"@@"`
}

// Spill caps the share of one region's requests that another may be sent.
type Spill struct {
	Word    string  `parser:"@'spill'"`
	From    Name    `parser:"@@ '>'"`
	To      Name    `parser:"@@"`
	Percent Percent `parser:"@@"`
}

// Permit lets a caller's data be processed in a region.
type Permit struct {
	Word   string `parser:"@'permit'"`
	Caller Name   `parser:"@@"`
	Region Name   `parser:"@@"`
}

// Forbid takes that permission away.
type Forbid struct {
	Word   string `parser:"@'forbid'"`
	Caller Name   `parser:"@@"`
	Region Name   `parser:"@@"`
}

// Version sets a version's share of a model's requests.
type Version struct {
	Word    string  `parser:"@'ver'"`
	Model   Name    `parser:"@@"`
	Version Name    `parser:"@@"`
	Percent Percent `parser:"@@"`
}

// Undo takes an accepted change back.
type Undo struct {
	Word     string `parser:"@'undo'"`
	Revision Name   `parser:"@@"`
}

// tokens are the language's: a word is anything without space, ">", "%" or "!".
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Percent", Pattern: `[0-9]+%`},
	{Name: "Word", Pattern: `[^\s>%!]+`},
	{Name: "Mark", Pattern: `[>!%]`},
	{Name: "Space", Pattern: `\s+`},
})

var grammar = participle.MustBuild[Line](
	participle.Lexer(tokens),
	participle.Elide("Space"),
)
