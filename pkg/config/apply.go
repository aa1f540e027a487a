package config

import (
	"cmp"
	"slices"
)

// Apply returns the declaration after the operations, and the operations that
// undo them. The given declaration is not modified, and unchanged entries are
// shared. The result is the same on every node, and is not validated (see
// Validate). The error is a *MissingError, *OpError or *SplitError.
func Apply(decl *Declaration, ops []Op) (*Declaration, []Op, error) {
	after := *decl
	editor := &editor{decl: &after}
	for i := range ops {
		if err := editor.apply(&ops[i]); err != nil {
			return nil, nil, err
		}
	}
	slices.Reverse(editor.inverse)
	return &after, editor.inverse, nil
}

// editor applies operations one by one and collects their inverses.
type editor struct {
	decl    *Declaration
	inverse []Op
}

func (e *editor) undo(op Op) { e.inverse = append(e.inverse, op) }

func (e *editor) apply(op *Op) error {
	if count := op.fields(); count != 1 {
		return &OpError{Problem: "not exactly one field is set"}
	}
	switch {
	case op.SetPolicy != nil:
		old := e.decl.Policy
		e.decl.Policy = *op.SetPolicy
		e.undo(Op{SetPolicy: &old})
		return nil
	case op.Remove != nil:
		return e.remove(op.Remove)
	case op.Drain != nil:
		return e.drain(op.Drain)
	case op.Permit != nil:
		return e.permit(op.Permit)
	case op.SplitVersion != nil:
		return e.split(op.SplitVersion)
	default:
		e.set(op)
		return nil
	}
}

// set replaces the entry of the same name, or adds it.
func (e *editor) set(op *Op) {
	switch {
	case op.SetRegion != nil:
		put(e, regionKind, *op.SetRegion)
	case op.SetModel != nil:
		put(e, modelKind, *op.SetModel)
	case op.SetService != nil:
		put(e, serviceKind, *op.SetService)
	case op.SetUpstream != nil:
		put(e, upstreamKind, *op.SetUpstream)
	case op.SetCaller != nil:
		put(e, callerKind, *op.SetCaller)
	case op.SetOperator != nil:
		put(e, operatorKind, *op.SetOperator)
	case op.SetSpill != nil:
		put(e, spillKind, *op.SetSpill)
	}
}

func (e *editor) remove(op *Remove) error {
	switch op.Kind {
	case regionKind.name:
		return drop(e, regionKind, op)
	case modelKind.name:
		return drop(e, modelKind, op)
	case serviceKind.name:
		return drop(e, serviceKind, op)
	case upstreamKind.name:
		return drop(e, upstreamKind, op)
	case callerKind.name:
		return drop(e, callerKind, op)
	case operatorKind.name:
		return drop(e, operatorKind, op)
	case spillKind.name:
		return drop(e, spillKind, op)
	default:
		return &OpError{Problem: "unknown kind " + op.Kind}
	}
}

func (e *editor) drain(op *DrainOp) error {
	upstream, ok := find(e.decl, upstreamKind, op.Upstream)
	if !ok {
		return &MissingError{Kind: upstreamKind.name, Name: op.Upstream}
	}
	old := upstream.Drained
	upstream.Drained = op.Drained
	replace(e.decl, upstreamKind, upstream)
	e.undo(Op{Drain: &DrainOp{Upstream: op.Upstream, Drained: old}})
	return nil
}

func (e *editor) permit(op *PermitOp) error {
	caller, ok := find(e.decl, callerKind, op.Caller)
	if !ok {
		return &MissingError{Kind: callerKind.name, Name: op.Caller}
	}
	place, allowed := slices.BinarySearch(caller.Regions, op.Region)
	caller.Regions = slices.Clone(caller.Regions)
	switch {
	case op.Allowed && !allowed:
		caller.Regions = slices.Insert(caller.Regions, place, op.Region)
	case !op.Allowed && allowed:
		caller.Regions = slices.Delete(caller.Regions, place, place+1)
	}
	caller.Regions = orNil(caller.Regions)
	replace(e.decl, callerKind, caller)
	e.undo(Op{Permit: &PermitOp{Caller: op.Caller, Region: op.Region, Allowed: allowed}})
	return nil
}

func (e *editor) split(op *SplitVersion) error {
	model, ok := find(e.decl, modelKind, op.Model)
	if !ok {
		return &MissingError{Kind: modelKind.name, Name: op.Model}
	}
	versions, err := splitVersions(model.Versions, op)
	if err != nil {
		return err
	}
	old := model
	model.Versions = versions
	replace(e.decl, modelKind, model)
	e.undo(Op{SetModel: &old})
	return nil
}

// splitVersions gives one version its percent and divides the rest among the
// others in their present proportions, or evenly when all of them are at zero.
// Percents lost to rounding go to the largest remainders, in the order of names.
func splitVersions(versions []ModelVersion, op *SplitVersion) ([]ModelVersion, error) {
	at := slices.IndexFunc(versions, func(v ModelVersion) bool { return v.Name == op.Version })
	if at < 0 {
		return nil, &MissingError{Kind: "version", Name: op.Version}
	}
	rest := wholePercent - op.Percent
	others := len(versions) - 1
	if rest < 0 || op.Percent < 0 || (others == 0 && rest != 0) {
		return nil, &SplitError{Model: op.Model, Version: op.Version, Percent: op.Percent}
	}
	result := slices.Clone(versions)
	result[at].Percent = op.Percent
	weights, total := shareWeights(versions, at)
	left := rest
	order := make([]int, 0, others)
	for i := range result {
		if i == at {
			continue
		}
		result[i].Percent = rest * weights[i] / total
		left -= result[i].Percent
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(rest*weights[b]%total, rest*weights[a]%total)
	})
	for _, i := range order[:min(left, len(order))] {
		result[i].Percent++
	}
	return result, nil
}

// shareWeights returns the weights of all versions except one, and their sum.
func shareWeights(versions []ModelVersion, except int) (weights []int, total int) {
	weights = make([]int, len(versions))
	for i, version := range versions {
		if i != except {
			weights[i] = version.Percent
			total += version.Percent
		}
	}
	if total > 0 {
		return weights, total
	}
	for i := range weights {
		weights[i] = 1
	}
	return weights, max(1, len(versions)-1)
}
