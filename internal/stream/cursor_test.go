package stream

import "testing"

// TestCursorRoundTrip guards against a cursor whose reused encoding belongs to another generation, epoch or offset.
func TestCursorRoundTrip(t *testing.T) {
	signer := newCursorSigner([]byte("key"))
	a := Cursor{Backend: "b", Generation: "g1", Relay: "r", Epoch: 1, Account: "acme", Model: "m", Format: "text"}
	b := a
	b.Generation, b.Epoch = "g2", 2
	for _, want := range []Cursor{a, a, b, b, a} {
		for _, offset := range []int{0, 9, 10, 123456, 7} {
			want.Offset = offset
			text, err := signer.sign(want)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := newCursorSigner([]byte("key")).verify(text, "acme"); err != nil || got != want {
				t.Errorf("cursor %+v, error %v, want %+v", got, err, want)
			}
		}
	}
}
