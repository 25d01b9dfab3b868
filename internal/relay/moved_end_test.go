package relay

import (
	"fmt"
	"net/http"
	"testing"
)

// sendCloseDelimited sends a response without a length and chunks, whose end is that of the connection after hold is closed.
func sendCloseDelimited(t *testing.T, w http.ResponseWriter, r *http.Request, body string, hold <-chan struct{}) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), body)
	if err := buffer.Flush(); err != nil {
		t.Error(err)
	}
	if hold != nil {
		<-hold
	}
}
