package spec

import "strings"

// ValidationError is one broken rule of a manifest.
type ValidationError struct {
	path string
	rule string
}

// Path returns the place in the document, such as "models[2].versions".
func (e ValidationError) Path() string { return e.path }

// Rule returns the rule that the value breaks.
func (e ValidationError) Rule() string { return e.rule }

// Error implements error.
func (e ValidationError) Error() string { return e.path + ": " + e.rule }

// ValidationErrors lists every broken rule of a manifest.
type ValidationErrors []ValidationError

// Error implements error with one line for each broken rule.
func (e ValidationErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, v := range e {
		lines = append(lines, v.Error())
	}
	return strings.Join(lines, "\n")
}
