// Package command implements the operators' language. Each line is a query or a
// change, and gets a reply of at most 40 columns by 12 lines. Words and names may
// be abbreviated to any unique prefix.
//
// A reply gives the state of a change, accepted, refused or unknown, only as
// decided by package config. The "in force" counts include only instances that
// reported the revision.
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

// Name is a name or number with its position in the line.
type Name struct {
	Pos  lexer.Position `parser:""`
	Text string         `parser:"@Word"`
}

// Percent is a share like 20%.
type Percent struct {
	Pos  lexer.Position `parser:""`
	Text string         `parser:"@Percent"`
}

// Status queries the state of the deployment, or of one failure domain.
type Status struct {
	Word   string `parser:"@'st'"`
	Domain *Name  `parser:"@@?"`
}

// Pools queries all pools, one pool, or one upstream.
type Pools struct {
	Word string `parser:"@'up'"`
	Name *Name  `parser:"@@?"`
}

// Who queries all callers, or one caller.
type Who struct {
	Word   string `parser:"@'who'"`
	Caller *Name  `parser:"@@?"`
}

// Log queries the last changes, with an optional count and search word.
type Log struct {
	Word   string `parser:"@'log'"`
	First  *Name  `parser:"@@?"`
	Second *Name  `parser:"@@?"`
}

// Why queries the outcome of a request, a change or a revision.
type Why struct {
	Word    string `parser:"@'why'"`
	Subject Name   `parser:"@@"`
}

// Help queries the commands.
type Help struct {
	Word string `parser:"@'help'"`
}

// Drain takes an upstream out of service.
type Drain struct {
	Word     string `parser:"@'drain'"`
	Upstream Name   `parser:"@@"`
}

// Undrain returns an upstream to service.
type Undrain struct {
	Word     string `parser:"@'undrain'"`
	Upstream Name   `parser:"@@"`
}

// Spill caps the share of one region's requests that may be sent to another.
type Spill struct {
	Word    string  `parser:"@'spill'"`
	From    Name    `parser:"@@ '>'"`
	To      Name    `parser:"@@"`
	Percent Percent `parser:"@@"`
}

// Permit permits a caller's data to be processed in a region.
type Permit struct {
	Word   string `parser:"@'permit'"`
	Caller Name   `parser:"@@"`
	Region Name   `parser:"@@"`
}

// Forbid revokes that permission.
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

// Undo reverts an accepted change.
type Undo struct {
	Word     string `parser:"@'undo'"`
	Revision Name   `parser:"@@"`
}

// tokens defines the lexer. A word is any text without space, ">", "%" or "!".
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
