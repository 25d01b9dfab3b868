package spec

import "strings"

// Fault is one broken rule of a manifest.
type Fault struct {
	path string
	rule string
}

// Path returns the place in the document, such as "models[2].versions".
func (f Fault) Path() string { return f.path }

// Rule returns the rule that the value breaks.
func (f Fault) Rule() string { return f.rule }

// Error implements error.
func (f Fault) Error() string { return f.path + ": " + f.rule }

// Faults lists every fault of a manifest.
type Faults []Fault

// Error implements error with one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
