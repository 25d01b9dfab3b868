package front

import (
	"encoding/json"
	"net/http"

	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const lastEventHeader = "Last-Event-ID"

// complete serves a generation request in the given format, or resumes an answer if the request names a cursor.
func (f *Front) complete(format format) handler {
	generate := f.confirmed(f.generate(format))
	return func(w http.ResponseWriter, r *request) error {
		if r.Header.Get(lastEventHeader) != "" {
			return f.resume(w, r)
		}
		return generate(w, r)
	}
}

func (f *Front) generate(format format) handler {
	return func(w http.ResponseWriter, r *request) error {
		body, err := readGeneration(w, r)
		if err != nil {
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
		if body.Stream {
			return f.relay.Generate(r.Context(), req, f.newEventSink(w, format, req.Model, r.arrived))
		}
		return f.whole(w, r, req, format)
	}
}

func (f *Front) whole(w http.ResponseWriter, r *request, req stream.Request, format format) error {
	answer, err := f.relay.Whole(r.Context(), req)
	if err != nil {
		return err
	}
	usage := usageDoc{
		PromptTokens:     req.PromptTokens,
		CompletionTokens: answer.Tokens,
		TotalTokens:      req.PromptTokens + answer.Tokens,
	}
	head := chunkHead{ID: answer.Generation, Created: r.arrived.Unix(), Model: req.Model}
	sendJSON(w, format.whole(head, answer, usage))
	return nil
}

// resume continues an answer from the cursor in Last-Event-ID, in the format in which it began.
func (f *Front) resume(w http.ResponseWriter, r *request) error {
	cursor, err := f.relay.OpenCursor(r.Header.Get(lastEventHeader), r.account.Name())
	if err != nil {
		return err
	}
	format, ok := formats[cursor.Format]
	if !ok {
		return pond.NewRefusal(pond.ReasonCursorInvalid, pond.RunUnknown, noTime, "the cursor has an unknown format")
	}
	class, err := r.class()
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
