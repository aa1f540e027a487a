package command

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// PercentError reports a share over 100%.
type PercentError struct {
	Column int
	Given  string
}

// Error implements error.
func (e *PercentError) Error() string {
	return fmt.Sprintf("col %d: %s is not 0%% to 100%%", e.Column, clip(e.Given))
}

// HomeError refuses to forbid a caller's home region while it has others, because
// the home must remain one of its regions.
type HomeError struct {
	Caller, Region string
}

// Error implements error.
func (e *HomeError) Error() string {
	return fmt.Sprintf("%s is the home of %s\napply a file with another home first", e.Region, e.Caller)
}

// RevisionError reports text that is not a revision number.
type RevisionError struct {
	Column int
	Given  string
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("col %d: %s is not a revision", e.Column, clip(e.Given))
}

// intent is a change with its names resolved.
type intent struct {
	// line is the command with full names, without the "!".
	line  string
	build func(*config.Declaration) ([]config.Op, error)
	// since is set by undo (see config.Proposal).
	since config.Revision
}

// intent resolves the names of a change.
func (e *Executor) intent(ctx context.Context, line *Line) (intent, error) {
	names := e.names()
	switch {
	case line.Drain != nil:
		return drain(names, line.Drain.Upstream, true)
	case line.Undrain != nil:
		return drain(names, line.Undrain.Upstream, false)
	case line.Spill != nil:
		return spill(names, line.Spill)
	case line.Permit != nil:
		return permit(names, line.Permit.Caller, line.Permit.Region, true)
	case line.Forbid != nil:
		return permit(names, line.Forbid.Caller, line.Forbid.Region, false)
	case line.Version != nil:
		return split(names, line.Version)
	default:
		return e.undo(ctx, line.Undo)
	}
}

func drain(names names, name Name, drained bool) (intent, error) {
	upstream, err := names.upstream(name)
	if err != nil {
		return intent{}, err
	}
	ops := []config.Op{{Drain: &config.DrainOp{Upstream: upstream, Drained: drained}}}
	build := func(decl *config.Declaration) ([]config.Op, error) {
		found, ok := decl.Upstream(upstream)
		if !ok {
			return ops, &config.MissingError{Kind: "upstream", Name: upstream}
		}
		if found.Drained == drained {
			return ops, &config.NothingToDoError{Detail: upstream + " is " + drainedWord(drained)}
		}
		return ops, nil
	}
	return intent{line: ops[0].String(), build: build}, nil
}

func drainedWord(drained bool) string {
	if drained {
		return "drained"
	}
	return "not drained"
}

func spill(names names, line *Spill) (intent, error) {
	from, err := names.spillRegion(line.From)
	if err != nil {
		return intent{}, err
	}
	to, err := names.spillRegion(line.To)
	if err != nil {
		return intent{}, err
	}
	percent, err := line.Percent.value()
	if err != nil {
		return intent{}, err
	}
	rule := config.Spill{From: from, To: to, Percent: percent}
	ops := []config.Op{{SetSpill: &rule}}
	build := func(decl *config.Declaration) ([]config.Op, error) {
		if slices.Contains(decl.Spill, rule) {
			return ops, &config.NothingToDoError{Detail: "it is so"}
		}
		return ops, nil
	}
	return intent{line: ops[0].String(), build: build}, nil
}

// value returns the number, 0 to 100.
func (p Percent) value() (int, error) {
	value, err := strconv.Atoi(strings.TrimSuffix(p.Text, "%"))
	if err != nil || value > 100 {
		return 0, &PercentError{Column: p.Pos.Column, Given: p.Text}
	}
	return value, nil
}

func permit(names names, callerName, regionName Name, allowed bool) (intent, error) {
	caller, err := names.caller(callerName)
	if err != nil {
		return intent{}, err
	}
	region, err := names.region(regionName)
	if err != nil {
		return intent{}, err
	}
	ops := []config.Op{{Permit: &config.PermitOp{Caller: caller, Region: region, Allowed: allowed}}}
	build := func(decl *config.Declaration) ([]config.Op, error) {
		return ops, checkPermit(decl, ops[0].Permit)
	}
	return intent{line: ops[0].String(), build: build}, nil
}

// checkPermit returns an error if the permission cannot be given or revoked.
func checkPermit(decl *config.Declaration, op *config.PermitOp) error {
	caller, ok := decl.Caller(op.Caller)
	if !ok {
		return &config.MissingError{Kind: "caller", Name: op.Caller}
	}
	has := slices.Contains(caller.Regions, op.Region)
	if has == op.Allowed {
		return &config.NothingToDoError{Detail: "it is so"}
	}
	if !op.Allowed && caller.Home == op.Region && len(caller.Regions) > 1 {
		return &HomeError{Caller: op.Caller, Region: op.Region}
	}
	return nil
}

func split(names names, line *Version) (intent, error) {
	model, err := names.model(line.Model)
	if err != nil {
		return intent{}, err
	}
	version, err := names.version(model, line.Version)
	if err != nil {
		return intent{}, err
	}
	percent, err := line.Percent.value()
	if err != nil {
		return intent{}, err
	}
	ops := []config.Op{{SplitVersion: &config.SplitVersion{Model: model.Name, Version: version, Percent: percent}}}
	build := func(decl *config.Declaration) ([]config.Op, error) {
		after, _, err := config.Apply(decl, ops)
		if err == nil && len(config.Diff(decl, after)) == 0 {
			return ops, &config.NothingToDoError{Detail: "it is so"}
		}
		return ops, err
	}
	return intent{line: ops[0].String(), build: build}, nil
}

func (e *Executor) undo(ctx context.Context, line *Undo) (intent, error) {
	revision, err := strconv.ParseUint(line.Revision.Text, 10, 64)
	if err != nil {
		return intent{}, &RevisionError{Column: line.Revision.Pos.Column, Given: line.Revision.Text}
	}
	change, err := e.revision(ctx, config.Revision(revision))
	if err != nil {
		return intent{}, err
	}
	if change.Revision == 1 {
		return intent{}, &FirstRevisionError{}
	}
	return intent{
		line:  fmt.Sprintf("undo %d", revision),
		build: config.Fixed(change.Inverse),
		since: change.Revision,
	}, nil
}

// FirstRevisionError refuses to undo the first revision, which has nothing before it.
type FirstRevisionError struct{}

// Error implements error.
func (*FirstRevisionError) Error() string { return "1 is the first and cannot be undone" }

// revision returns an accepted change, from the local head if it holds it.
func (e *Executor) revision(ctx context.Context, revision config.Revision) (*config.Change, error) {
	head := e.Board.Config.Load()
	for i := range head.Recent {
		if head.Recent[i].Revision == revision {
			return &head.Recent[i], nil
		}
	}
	return e.Changes.Revision(ctx, revision)
}
