// Package repro makes the cases that property tests draw the same in every run, so that a failure can be repeated and a test either always
// fails or never.
//
// Usage, in one test file of each package that draws cases:
//
//	func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 7}) }
//
// Flags of the command line come first: -rapid.seed and -rapid.checks search for further failures.
package repro

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Draws configures what property tests draw.
type Draws struct {
	// Seed is not zero.
	Seed uint64
	// Checks is the number of cases of each test, and Steps the length of those that repeat actions; zero stands for the library's default.
	Checks int
	Steps  int
}

// Main fixes the draws, runs the tests and exits.
func Main(m *testing.M, draws Draws) {
	Fix(draws)
	os.Exit(m.Run())
}

// Fix fixes the draws, for a package whose TestMain does more. It is called before flags are parsed.
func Fix(draws Draws) {
	set("rapid.seed", strconv.FormatUint(draws.Seed, 10))
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", "5s")
	if draws.Checks > 0 {
		set("rapid.checks", strconv.Itoa(draws.Checks))
	}
	if draws.Steps > 0 {
		set("rapid.steps", strconv.Itoa(draws.Steps))
	}
}

// set changes the default of a flag. The flags exist only in packages whose tests import the library.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
