// Package table provides a dense table of values keyed by ID.
//
// Rows live in one slice. A row keeps its slot number until it is removed, so other tables may refer to it by slot;
// slots of removed rows are reused. Iteration with All follows the order of the keys, so that two tables with the same
// rows iterate alike whatever the order of insertions and removals was.
//
// # Usage
//
//	engines := table.New[string, engine](16)
//	slot, row := engines.Insert("engine-a")
//	row.memory = 4096
//	for key, row := range engines.All() {
//		fmt.Println(key, row.memory)
//	}
//	engines.Remove("engine-a")
package table
