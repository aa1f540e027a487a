package config

import "reflect"

// Diff returns the operations that turn one declaration into the other, in an
// order that does not depend on the order in the files. Equal declarations give
// no operations.
func Diff(from, to *Declaration) []Op {
	var ops []Op
	ops = diffKind(ops, regionKind, from, to)
	ops = diffKind(ops, modelKind, from, to)
	ops = diffKind(ops, serviceKind, from, to)
	ops = diffKind(ops, upstreamKind, from, to)
	ops = diffKind(ops, callerKind, from, to)
	ops = diffKind(ops, operatorKind, from, to)
	ops = diffKind(ops, spillKind, from, to)
	if from.Policy != to.Policy {
		policy := to.Policy
		ops = append(ops, Op{SetPolicy: &policy})
	}
	return ops
}

func diffKind[T any](ops []Op, of kind[T], from, to *Declaration) []Op {
	for _, entry := range *of.list(from) {
		name := of.key(&entry)
		if _, stays := find(to, of, name); !stays {
			ops = append(ops, Op{Remove: &Remove{Kind: of.name, Name: name}})
		}
	}
	for _, entry := range *of.list(to) {
		old, had := find(from, of, of.key(&entry))
		if !had || !reflect.DeepEqual(old, entry) {
			ops = append(ops, of.set(&entry))
		}
	}
	return ops
}
