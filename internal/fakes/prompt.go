package fakes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// promptBytesPerToken is the number of prompt bytes counted as one token.
const promptBytesPerToken = 4

// Output lengths that are not set by a directive follow a log-normal distribution with this median and sigma: most
// outputs are short and a few are many times longer.
const (
	medianLength = 120
	lengthSigma  = 1.1
)

var lengthDirective = regexp.MustCompile(`\blength=(\d+)\b`)

// PromptTokens returns the number of tokens that the engine stand-in counts for a prompt, at least 1.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+promptBytesPerToken-1)/promptBytesPerToken)
}

// OutputLength returns the number of output tokens of a generation. A directive "length=N" in the prompt sets it;
// otherwise it is drawn at random, seeded by seed and the generation ID. maxTokens limits it unless zero.
func OutputLength(prompt, generation string, maxTokens int, seed uint64) int {
	length := directiveLength(prompt)
	if length == 0 {
		random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(generation)))
		length = int(medianLength * math.Exp(lengthSigma*random.NormFloat64()))
	}
	length = max(1, length)
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return length
}

func directiveLength(prompt string) int {
	match := lengthDirective.FindStringSubmatch(prompt)
	if match == nil {
		return 0
	}
	length, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}
	return length
}

// TokenText returns a function that gives the text of the token at an offset. The text contains the offset and hashes
// of the prompt and the generation ID, so that a reader detects lost, repeated and mixed tokens.
func TokenText(prompt, generation string) func(offset int) string {
	prefix := fmt.Sprintf("%08x.%08x:", uint32(xxhash.Sum64String(prompt)), uint32(xxhash.Sum64String(generation)))
	return func(offset int) string { return prefix + strconv.Itoa(offset) + " " }
}

// TokenChecker checks the token texts of one response. It detects lost, repeated and reordered tokens and tokens of
// another prompt or another generation.
type TokenChecker struct {
	prompt     string
	generation string
	next       int
}

// NewTokenChecker returns a TokenChecker for the response to a prompt.
func NewTokenChecker(prompt string) *TokenChecker {
	return &TokenChecker{prompt: fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt)))}
}

// Tokens returns the number of tokens accepted so far.
func (c *TokenChecker) Tokens() int { return c.next }

// Add checks the next part of the response, which must consist of one or more whole tokens.
func (c *TokenChecker) Add(text string) error {
	for token := range strings.FieldsSeq(text) {
		if err := c.add(token); err != nil {
			return err
		}
	}
	return nil
}

func (c *TokenChecker) add(token string) error {
	prompt, rest, _ := strings.Cut(token, ".")
	generation, offset, ok := strings.Cut(rest, ":")
	if !ok {
		return errors.Errorf("%q is not a token", token)
	}
	if prompt != c.prompt {
		return errors.Errorf("token %q belongs to another prompt", token)
	}
	if c.next == 0 {
		c.generation = generation
	}
	if generation != c.generation {
		return errors.Errorf("token %q belongs to another generation", token)
	}
	if offset != strconv.Itoa(c.next) {
		return errors.Errorf("token %q came in place of token %d", token, c.next)
	}
	c.next++
	return nil
}
