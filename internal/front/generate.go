package front

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const lastEventIDHeader = "Last-Event-ID"

// serveCompletion serves a generation request in the given format, or resumes an answer if the request has a cursor.
func (f *Front) serveCompletion(format answerFormat) handler {
	generate := f.requireConfirmed(f.serveGeneration(format))
	return func(w http.ResponseWriter, r *request) error {
		if r.Header.Get(lastEventIDHeader) != "" {
			return f.serveResume(w, r)
		}
		return generate(w, r)
	}
}

func (f *Front) serveGeneration(format answerFormat) handler {
	return func(w http.ResponseWriter, r *request) error {
		body, err := readGenerationBody(w, r)
		if err != nil {
			return err
		}
		if err := f.checkAccepting(); err != nil {
			return err
		}
		prompt := body.Prompt
		if format == formatChat {
			prompt = chatPrompt(body.Messages)
		}
		req, err := r.streamRequest(body, prompt, format.name())
		if err != nil {
			return err
		}
		r.manifest = nil // A long generation would keep a former one in memory.
		if body.Stream {
			return f.relay.Generate(r.Context(), req, f.newEventSink(w, format, req.Model, r.arrived))
		}
		return f.serveUnstreamed(w, r, req, format)
	}
}

// serveUnstreamed sends the complete answer as one JSON object.
func (f *Front) serveUnstreamed(w http.ResponseWriter, r *request, req stream.Request, format answerFormat) error {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	// The engine may change on the way, so that all are one source.
	holding := f.options.Answers.Open("engines", cancel)
	defer holding.Close()
	answer, err := f.relay.GenerateComplete(ctx, req, holding)
	if err != nil {
		return err
	}
	usage := tokenUsage{
		PromptTokens:     req.PromptTokens,
		CompletionTokens: answer.Tokens,
		TotalTokens:      req.PromptTokens + answer.Tokens,
	}
	head := chunkHead{ID: answer.Generation, Created: r.arrived.Unix(), Model: req.Model}
	content, err := json.Marshal(format.completeAnswer(head, answer, usage))
	if err != nil {
		return errors.Wrap(err, "encode a generation")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	writeAnswer(w, append(content, '\n'))
	return nil
}

// serveResume resumes an answer after the cursor in Last-Event-ID, in its original format.
func (f *Front) serveResume(w http.ResponseWriter, r *request) error {
	cursor, err := f.relay.OpenCursor(r.Header.Get(lastEventIDHeader), r.account.Name())
	if err != nil {
		return err
	}
	format, ok := formatsByName[cursor.Format]
	if !ok {
		return pond.NewRefusal(pond.ReasonCursorInvalid, pond.RunUnknown, zeroTime, "the cursor has an unknown format")
	}
	class, err := r.requestedClass()
	if err != nil {
		return err
	}
	deadline, err := r.deadline()
	if err != nil {
		return err
	}
	return f.relay.Resume(r.Context(), stream.ResumeRequest{
		Cursor:   cursor,
		Priority: r.account.Priority(),
		Class:    class,
		Deadline: deadline,
	}, f.newEventSink(w, format, cursor.Model, r.arrived))
}

func sendJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(value)
}
