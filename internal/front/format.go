package front

import "github.com/dragonflypond/dragonflypond/internal/stream"

// format presents answers in the form of one path.
type format interface {
	// name is carried in cursors.
	name() string
	token(head chunkHead, item stream.Item) any
	last(head chunkHead, item stream.Item) any
	whole(head chunkHead, answer stream.Answer, usage usageDoc) any
}

// formats holds the format of each name.
var formats = map[string]format{
	formatText.name(): formatText,
	formatChat.name(): formatChat,
}

var (
	formatText textFormat
	formatChat chatFormat
)

// chunkHead is common to all answers.
type chunkHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// usageDoc counts tokens. The prompt's are estimated.
type usageDoc struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

var finishStop = "stop"

type textChunk struct {
	chunkHead
	Offset  *int         `json:"offset,omitempty"`
	Choices []textChoice `json:"choices"`
	Usage   *usageDoc    `json:"usage,omitempty"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// textFormat is the form of POST /v1/completions.
type textFormat struct{}

func (textFormat) name() string { return "text" }

func (textFormat) token(head chunkHead, item stream.Item) any {
	head.Object = "text_completion"
	return textChunk{chunkHead: head, Offset: &item.Offset, Choices: []textChoice{{Text: item.Text}}}
}

func (textFormat) last(head chunkHead, item stream.Item) any {
	head.Object = "text_completion"
	return textChunk{
		chunkHead: head,
		Choices:   []textChoice{{FinishReason: &finishStop}},
		Usage:     &usageDoc{CompletionTokens: item.Tokens, TotalTokens: item.Tokens},
	}
}

func (textFormat) whole(head chunkHead, answer stream.Answer, usage usageDoc) any {
	head.Object = "text_completion"
	return textChunk{
		chunkHead: head,
		Choices:   []textChoice{{Text: answer.Text, FinishReason: &finishStop}},
		Usage:     &usage,
	}
}

type chatChunk struct {
	chunkHead
	Offset  *int         `json:"offset,omitempty"`
	Choices []chatChoice `json:"choices"`
	Usage   *usageDoc    `json:"usage,omitempty"`
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

// chatFormat is the form of POST /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) name() string { return "chat" }

func (chatFormat) token(head chunkHead, item stream.Item) any {
	head.Object = "chat.completion.chunk"
	delta := &chatMessage{Content: item.Text}
	if item.Offset == 0 {
		delta.Role = "assistant"
	}
	return chatChunk{chunkHead: head, Offset: &item.Offset, Choices: []chatChoice{{Delta: delta}}}
}

func (chatFormat) last(head chunkHead, item stream.Item) any {
	head.Object = "chat.completion.chunk"
	return chatChunk{
		chunkHead: head,
		Choices:   []chatChoice{{Delta: &chatMessage{}, FinishReason: &finishStop}},
		Usage:     &usageDoc{CompletionTokens: item.Tokens, TotalTokens: item.Tokens},
	}
}

func (chatFormat) whole(head chunkHead, answer stream.Answer, usage usageDoc) any {
	head.Object = "chat.completion"
	return chatChunk{
		chunkHead: head,
		Choices:   []chatChoice{{Message: &chatMessage{Role: "assistant", Content: answer.Text}, FinishReason: &finishStop}},
		Usage:     &usage,
	}
}
