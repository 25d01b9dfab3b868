package spec

import "slices"

// catalog holds the entities of one section of a manifest, in the order of the document and indexed by name.
type catalog[T any] struct {
	list   []T
	byName map[string]T
}

func newCatalog[D, T any](docs []D, entity func(D) T, name func(T) string) catalog[T] {
	c := catalog[T]{list: make([]T, 0, len(docs)), byName: make(map[string]T, len(docs))}
	for _, doc := range docs {
		e := entity(doc)
		c.list = append(c.list, e)
		c.byName[name(e)] = e
	}
	return c
}

func (c catalog[T]) get(name string) (T, bool) {
	entity, ok := c.byName[name]
	return entity, ok
}

// all returns a copy of the list, so that callers may change it.
func (c catalog[T]) all() []T { return slices.Clone(c.list) }
