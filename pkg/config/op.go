package config

import (
	"fmt"
	"strings"
)

// fields counts the fields of the operation that are set.
func (op *Op) fields() int {
	count := 0
	for _, set := range []bool{
		op.SetRegion != nil, op.SetModel != nil, op.SetService != nil,
		op.SetUpstream != nil, op.SetCaller != nil, op.SetOperator != nil,
		op.SetSpill != nil, op.SetPolicy != nil, op.Remove != nil,
		op.Drain != nil, op.Permit != nil, op.SplitVersion != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// String describes the operation, briefly enough for a phone.
func (op Op) String() string {
	switch {
	case op.Remove != nil:
		return "- " + op.Remove.Kind + " " + op.Remove.Name
	case op.Drain != nil && op.Drain.Drained:
		return "drain " + op.Drain.Upstream
	case op.Drain != nil:
		return "undrain " + op.Drain.Upstream
	case op.Permit != nil && op.Permit.Allowed:
		return "permit " + op.Permit.Caller + " " + op.Permit.Region
	case op.Permit != nil:
		return "forbid " + op.Permit.Caller + " " + op.Permit.Region
	case op.SplitVersion != nil:
		split := op.SplitVersion
		return fmt.Sprintf("ver %s %s %d%%", split.Model, split.Version, split.Percent)
	case op.SetSpill != nil:
		return fmt.Sprintf("spill %s %d%%", op.SetSpill.Name(), op.SetSpill.Percent)
	default:
		return "set " + strings.ReplaceAll(op.Touches(), "/", " ")
	}
}

// Touches returns the path of what the operation changes. Two operations conflict
// when their paths are equal or one lies below the other.
func (op Op) Touches() string {
	switch {
	case op.SetRegion != nil:
		return "region/" + op.SetRegion.Name
	case op.SetModel != nil:
		return "model/" + op.SetModel.Name
	case op.SetService != nil:
		return "service/" + op.SetService.Name
	case op.SetUpstream != nil:
		return "upstream/" + op.SetUpstream.Name
	case op.SetCaller != nil:
		return "caller/" + op.SetCaller.Name
	case op.SetOperator != nil:
		return "operator/" + op.SetOperator.Name
	case op.SetSpill != nil:
		return "spill/" + op.SetSpill.Name()
	case op.SetPolicy != nil:
		return "policy"
	case op.Remove != nil:
		return op.Remove.Kind + "/" + op.Remove.Name
	case op.Drain != nil:
		return "upstream/" + op.Drain.Upstream + "/drained"
	case op.Permit != nil:
		return "caller/" + op.Permit.Caller + "/regions/" + op.Permit.Region
	case op.SplitVersion != nil:
		return "model/" + op.SplitVersion.Model + "/versions"
	default:
		return ""
	}
}

// collide reports whether an operation of a conflicts with one of b.
func collide(a, b []Op) bool {
	for _, first := range a {
		for _, second := range b {
			if overlap(first.Touches(), second.Touches()) {
				return true
			}
		}
	}
	return false
}

func overlap(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+"/") || strings.HasPrefix(b, a+"/")
}
