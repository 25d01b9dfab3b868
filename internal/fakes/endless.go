package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// endlessPause is the time between two parts of an answer without an end after its burst.
const endlessPause = 20 * time.Millisecond

// EndlessForm is a form of bytes without an end.
type EndlessForm struct {
	Name string
	// Prefix is sent first; Repeated follows until the client closes the connection.
	Prefix, Repeated string
}

// Heads of answers that are whole.
const (
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	sizedHead    = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"
)

// EndlessHeads returns forms of a head without an end.
func EndlessHeads() []EndlessForm {
	return []EndlessForm{
		{"statusLine", "HTTP/1.1 200 ", "x"},
		{"headerField", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"headerFields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"informational", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	}
}

// EndlessBodies returns forms of a body without an end.
func EndlessBodies() []EndlessForm {
	return []EndlessForm{
		{"unframedBody", unframedHead, "x"},
		{"sizedBody", sizedHead, "x"},
		{"chunks", chunkedHead, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		{"chunkLine", chunkedHead, "0"},
		{"trailer", chunkedHead + "1\r\nx\r\n0\r\n", "A: b\r\n"},
	}
}

// Endless is the stand-in for a faulty server whose answers do not end: it sends until the client closes the connection.
type Endless struct {
	form  EndlessForm
	burst int
	open  atomic.Int32
}

// NewEndless returns a server that sends the first burst bytes of each answer as fast as it can and goes on slowly.
func NewEndless(form EndlessForm, burst int) *Endless { return &Endless{form: form, burst: burst} }

// Open returns the number of answers that are being sent.
func (e *Endless) Open() int { return int(e.open.Load()) }

// ServeHTTP implements http.Handler.
func (e *Endless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A client may close early.
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.open.Add(1)
	defer e.open.Add(-1)
	if _, err := io.WriteString(conn, e.form.Prefix); err != nil {
		return
	}
	const partBytes = 1 << 10
	part := []byte(strings.Repeat(e.form.Repeated, 1+partBytes/len(e.form.Repeated)))
	for sent := 0; ; sent += len(part) {
		if sent >= e.burst {
			time.Sleep(endlessPause)
		}
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}
