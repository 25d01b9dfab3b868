package front

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// bodyReadTimeout is how long a caller may take to send a body, so that slow callers cannot hold requests open.
	bodyReadTimeout = 30 * time.Second
	// bytesPerToken is used to estimate the length of prompts, because instances have no tokenizer.
	bytesPerToken = 4
	// cacheBlockBytes is the estimated size of one cache block of an engine, 64 tokens. The first block of a prompt
	// identifies its cache entry.
	cacheBlockBytes = 64 * bytesPerToken
)

// generationBody is the body of a generation request. Other fields are ignored, because common clients send settings
// that the engine protocol does not have.
type generationBody struct {
	Model               string    `json:"model"`
	Version             string    `json:"version"`
	Adapter             string    `json:"adapter"`
	Prompt              string    `json:"prompt"`
	Messages            []message `json:"messages"`
	MaxTokens           int       `json:"maxTokens"`
	MaxTokensSnake      int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string or a list of text parts, which are concatenated.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "content is neither a text nor a list of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("content part of type %q is not supported", part.Type)
		}
		*c += content(part.Text)
	}
	return nil
}

// readBody reads a body of at most the manifest's MaxBodyBytes within bodyReadTimeout.
func readBody(w http.ResponseWriter, r *request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.arrived.Add(bodyReadTimeout))
	// A deadline that stays set would end the connection while the answer is being streamed.
	defer func() { _ = control.SetReadDeadline(zeroTime) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, r.manifest.Policy().MaxBodyBytes()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(pond.ReasonTooLarge, "the body is too large")
	}
	if err != nil {
		return nil, refuse(pond.ReasonBadRequest, "the body could not be read")
	}
	return body, nil
}

func readGenerationBody(w http.ResponseWriter, r *request) (generationBody, error) {
	var body generationBody
	data, err := readBody(w, r)
	if err != nil {
		return body, err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return body, refuse(pond.ReasonBadRequest, "the body is not valid: "+err.Error())
	}
	body.MaxTokens = max(body.MaxTokens, body.MaxTokensSnake, body.MaxCompletionTokens)
	return body, nil
}

// chatPrompt renders messages as a prompt: one line of role and content for each message, then the start of the
// assistant's line.
func chatPrompt(messages []message) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String()
}

// streamRequest validates a body against the manifest and builds the request for the relay.
func (r *request) streamRequest(body generationBody, prompt, format string) (stream.Request, error) {
	req := stream.Request{
		Account:      r.account.Name(),
		Model:        body.Model,
		Version:      body.Version,
		Adapter:      body.Adapter,
		Prompt:       prompt,
		Priority:     r.account.Priority(),
		PromptTokens: max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken),
		MaxTokens:    body.MaxTokens,
		PrefixHash:   hashFirstBlock(prompt),
		Format:       format,
	}
	if err := r.checkModel(&req); err != nil {
		return req, err
	}
	var err error
	if req.Class, err = r.requestedClass(); err != nil {
		return req, err
	}
	req.Deadline, err = r.deadline()
	return req, err
}

// checkModel sets the default version and refuses requests that exceed what the manifest declares for the model.
func (r *request) checkModel(req *stream.Request) error {
	model, ok := r.manifest.Model(req.Model)
	if !ok {
		return refuse(pond.ReasonNotFound, "there is no such model")
	}
	versions := model.Versions()
	if req.Version == "" && len(versions) > 0 {
		req.Version = versions[0]
	}
	if req.Version != "" && !slices.Contains(versions, req.Version) {
		return refuse(pond.ReasonNotFound, "the model has no such version")
	}
	if req.Adapter != "" && !slices.Contains(model.Adapters(), req.Adapter) {
		return refuse(pond.ReasonNotFound, "the model has no such adapter")
	}
	if req.MaxTokens < 0 || model.MaxTokens() > 0 && req.MaxTokens > model.MaxTokens() {
		return refuse(pond.ReasonBadRequest, "the number of tokens asked for is out of range")
	}
	if model.ContextTokens() > 0 && req.PromptTokens+req.MaxTokens > model.ContextTokens() {
		return refuse(pond.ReasonTooLarge, "prompt and output exceed the context of the model")
	}
	return nil
}

// hashFirstBlock returns the hash of the first cache block of a prompt, or 0 if the prompt is shorter than one block.
func hashFirstBlock(prompt string) uint64 {
	if len(prompt) < cacheBlockBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:cacheBlockBytes])
}
