package table

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 20261203}) }

// TestTableMatchesMap compares the table with a map. It guards against rows that change their slot, values left over
// in a reused slot, and an iteration order that depends on insertions.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New[int, int](0)
		want := make(map[int]int)
		slots := make(map[int]Slot)
		key := rapid.IntRange(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) {
				k := key.Draw(t, "key")
				slot, value := table.Insert(k)
				if _, ok := want[k]; !ok && *value != 0 {
					t.Fatalf("new row %d holds %d, want 0", k, *value)
				}
				*value++
				want[k]++
				slots[k] = slot
			},
			"remove": func(t *rapid.T) {
				k := key.Draw(t, "key")
				_, ok := want[k]
				if table.Remove(k) != ok {
					t.Fatalf("remove %d: want existing %t", k, ok)
				}
				delete(want, k)
				delete(slots, k)
			},
			"": func(t *rapid.T) {
				var keys []int
				for k, value := range table.All() {
					keys = append(keys, k)
					if slot, _ := table.Slot(k); *value != want[k] || slot != slots[k] || table.Key(slot) != k {
						t.Fatalf("row %d: value %d in slot %d, want %d in %d", k, *value, slot, want[k], slots[k])
					}
				}
				if sorted := slices.Sorted(maps.Keys(want)); !slices.Equal(keys, sorted) {
					t.Fatalf("keys %v, want %v", keys, sorted)
				}
			},
		})
	})
}
