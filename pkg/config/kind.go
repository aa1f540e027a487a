package config

import (
	"cmp"
	"slices"
)

// kind describes one sorted list of the declaration.
type kind[T any] struct {
	// name is the kind's name in Remove.
	name string
	// list returns the declaration's list.
	list func(*Declaration) *[]T
	// key returns the name of an entry.
	key func(*T) string
	// set returns the operation that sets an entry.
	set func(*T) Op
}

// The kinds of entries.
var (
	regionKind = kind[Region]{
		name: "region",
		list: func(d *Declaration) *[]Region { return &d.Regions },
		key:  func(r *Region) string { return r.Name },
		set:  func(r *Region) Op { return Op{SetRegion: r} },
	}
	modelKind = kind[Model]{
		name: "model",
		list: func(d *Declaration) *[]Model { return &d.Models },
		key:  func(m *Model) string { return m.Name },
		set:  func(m *Model) Op { return Op{SetModel: m} },
	}
	serviceKind = kind[Service]{
		name: "service",
		list: func(d *Declaration) *[]Service { return &d.Services },
		key:  func(s *Service) string { return s.Name },
		set:  func(s *Service) Op { return Op{SetService: s} },
	}
	upstreamKind = kind[Upstream]{
		name: "upstream",
		list: func(d *Declaration) *[]Upstream { return &d.Upstreams },
		key:  func(u *Upstream) string { return u.Name },
		set:  func(u *Upstream) Op { return Op{SetUpstream: u} },
	}
	callerKind = kind[Caller]{
		name: "caller",
		list: func(d *Declaration) *[]Caller { return &d.Callers },
		key:  func(c *Caller) string { return c.Name },
		set:  func(c *Caller) Op { return Op{SetCaller: c} },
	}
	operatorKind = kind[Operator]{
		name: "operator",
		list: func(d *Declaration) *[]Operator { return &d.Operators },
		key:  func(o *Operator) string { return o.Name },
		set:  func(o *Operator) Op { return Op{SetOperator: o} },
	}
	spillKind = kind[Spill]{
		name: "spill",
		list: func(d *Declaration) *[]Spill { return &d.Spill },
		key:  func(s *Spill) string { return s.Name() },
		set:  func(s *Spill) Op { return Op{SetSpill: s} },
	}
)

// search returns the index of a name in the sorted list.
func search[T any](list []T, of kind[T], name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(entry T, name string) int {
		return cmp.Compare(of.key(&entry), name)
	})
}

// find returns a copy of an entry.
func find[T any](decl *Declaration, of kind[T], name string) (T, bool) {
	list := *of.list(decl)
	place, ok := search(list, of, name)
	if !ok {
		var none T
		return none, false
	}
	return list[place], true
}

// replace puts an entry into a copy of the list, where it replaces the one of the
// same name or is inserted in order.
func replace[T any](decl *Declaration, of kind[T], entry T) {
	list := of.list(decl)
	place, ok := search(*list, of, of.key(&entry))
	copied := slices.Clone(*list)
	if ok {
		copied[place] = entry
	} else {
		copied = slices.Insert(copied, place, entry)
	}
	*list = copied
}

// put sets an entry and records the inverse operation.
func put[T any](e *editor, of kind[T], entry T) {
	name := of.key(&entry)
	old, had := find(e.decl, of, name)
	replace(e.decl, of, entry)
	if had {
		e.undo(of.set(&old))
		return
	}
	e.undo(Op{Remove: &Remove{Kind: of.name, Name: name}})
}

// drop removes an entry and records the inverse operation.
func drop[T any](e *editor, of kind[T], op *Remove) error {
	list := of.list(e.decl)
	place, ok := search(*list, of, op.Name)
	if !ok {
		return &MissingError{Kind: of.name, Name: op.Name}
	}
	old := (*list)[place]
	copied := slices.Delete(slices.Clone(*list), place, place+1)
	*list = orNil(copied)
	e.undo(of.set(&old))
	return nil
}

// Upstream returns a copy of an upstream of a sorted declaration, by name.
func (d *Declaration) Upstream(name string) (Upstream, bool) { return find(d, upstreamKind, name) }

// Caller returns a copy of a caller of a sorted declaration, by name.
func (d *Declaration) Caller(name string) (Caller, bool) { return find(d, callerKind, name) }
