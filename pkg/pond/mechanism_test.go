package pond

import "testing"

// TestParseMechanisms guards against a misspelt name that leaves a mechanism on in a measurement, and against a set that
// holds more than was named.
func TestParseMechanisms(t *testing.T) {
	tests := []struct {
		list    string
		want    []Mechanism
		invalid bool
	}{
		{"", nil, false},
		{"moves", []Mechanism{MechanismMoves}, false},
		{"moves, shortShare", []Mechanism{MechanismMoves, MechanismShortShare}, false},
		{"moves,movse", nil, true},
		{"3", nil, true},
	}
	for _, test := range tests {
		set, err := ParseMechanisms(test.list)
		if (err != nil) != test.invalid {
			t.Errorf("%q: error %v, want one: %t", test.list, err, test.invalid)
		}
		var want MechanismSet
		for _, mechanism := range test.want {
			want |= 1 << uint(mechanism)
			if !set.Has(mechanism) {
				t.Errorf("%q lacks %v", test.list, mechanism)
			}
		}
		if set != want {
			t.Errorf("%q: set %b, want %b", test.list, set, want)
		}
	}
}
