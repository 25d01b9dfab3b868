package front

import "github.com/dragonflypond/dragonflypond/internal/stream"

// answerFormat encodes answers in the format of one API path.
type answerFormat interface {
	// name identifies the format in cursors.
	name() string
	tokenChunk(head chunkHead, item stream.Item) any
	finalChunk(head chunkHead, item stream.Item) any
	completeAnswer(head chunkHead, answer stream.Answer, usage tokenUsage) any
}

var formatsByName = map[string]answerFormat{
	formatText.name(): formatText,
	formatChat.name(): formatChat,
}

var (
	formatText textFormat
	formatChat chatFormat
)

// chunkHead holds the fields that are common to chunks and complete answers.
type chunkHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// tokenUsage counts the tokens of a request. The number of prompt tokens is an estimate.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

var finishReasonStop = "stop"

type textChunk struct {
	chunkHead
	Offset  *int         `json:"offset,omitempty"`
	Choices []textChoice `json:"choices"`
	Usage   *tokenUsage  `json:"usage,omitempty"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// textFormat is the format of POST /v1/completions.
type textFormat struct{}

func (textFormat) name() string { return "text" }

func (textFormat) tokenChunk(head chunkHead, item stream.Item) any {
	head.Object = "text_completion"
	return textChunk{chunkHead: head, Offset: &item.Offset, Choices: []textChoice{{Text: item.Text}}}
}

func (textFormat) finalChunk(head chunkHead, item stream.Item) any {
	head.Object = "text_completion"
	return textChunk{
		chunkHead: head,
		Choices:   []textChoice{{FinishReason: &finishReasonStop}},
		Usage:     &tokenUsage{CompletionTokens: item.Tokens, TotalTokens: item.Tokens},
	}
}

func (textFormat) completeAnswer(head chunkHead, answer stream.Answer, usage tokenUsage) any {
	head.Object = "text_completion"
	return textChunk{
		chunkHead: head,
		Choices:   []textChoice{{Text: answer.Text, FinishReason: &finishReasonStop}},
		Usage:     &usage,
	}
}

type chatChunk struct {
	chunkHead
	Offset  *int         `json:"offset,omitempty"`
	Choices []chatChoice `json:"choices"`
	Usage   *tokenUsage  `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatFormat is the format of POST /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) name() string { return "chat" }

func (chatFormat) tokenChunk(head chunkHead, item stream.Item) any {
	head.Object = "chat.completion.chunk"
	delta := &chatMessage{Content: item.Text}
	if item.Offset == 0 {
		delta.Role = "assistant"
	}
	return chatChunk{chunkHead: head, Offset: &item.Offset, Choices: []chatChoice{{Delta: delta}}}
}

func (chatFormat) finalChunk(head chunkHead, item stream.Item) any {
	head.Object = "chat.completion.chunk"
	return chatChunk{
		chunkHead: head,
		Choices:   []chatChoice{{Delta: &chatMessage{}, FinishReason: &finishReasonStop}},
		Usage:     &tokenUsage{CompletionTokens: item.Tokens, TotalTokens: item.Tokens},
	}
}

func (chatFormat) completeAnswer(head chunkHead, answer stream.Answer, usage tokenUsage) any {
	head.Object = "chat.completion"
	return chatChunk{
		chunkHead: head,
		Choices:   []chatChoice{{Message: &chatMessage{Role: "assistant", Content: answer.Text}, FinishReason: &finishReasonStop}},
		Usage:     &usage,
	}
}
