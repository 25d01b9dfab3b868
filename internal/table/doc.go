// Package table provides a dense table of values keyed by ID.
//
// Rows are stored in one slice. A row keeps its slot until it is removed, so that other tables can refer to it by slot;
// slots of removed rows are reused. All iterates in the order of the keys, so that the order does not depend on earlier
// insertions and removals.
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
