package stream_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// startAndDisconnect starts a generation at entry-1 whose caller disconnects after the given number of tokens.
func (c *cluster) startAndDisconnect(t *testing.T, tokens int) *recorder {
	t.Helper()
	caller := &recorder{disconnectAfter: tokens}
	if err := c.relays["entry-1"].Generate(t.Context(), testRequest("p"), caller); err != nil {
		t.Fatal(err)
	}
	caller.disconnectAfter = 0
	return caller
}

func reasonOf(err error) pond.Reason {
	var refusal *pond.Refusal
	if !errors.As(err, &refusal) {
		return pond.ReasonInternal
	}
	return refusal.Reason()
}

// TestResume guards against lost or repeated tokens when a caller resumes at the same or another instance, whether the
// instance that relayed the response is alive or gone.
func TestResume(t *testing.T) {
	tests := []struct {
		name string
		at   pond.InstanceID
		// state is that of entry-1, and unreachable whether it does not respond to other instances.
		state       pond.InstanceState
		unreachable bool
	}{
		{name: "same instance", at: "entry-1", state: pond.InstanceLive},
		{name: "another instance", at: "entry-2", state: pond.InstanceLive},
		{name: "relay is leaving", at: "entry-2", state: pond.InstanceLeaving},
		{name: "relay is gone", at: "entry-2", state: pond.InstanceGone},
		{name: "relay does not respond", at: "entry-3", state: pond.InstanceSuspect, unreachable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1", "entry-2", "entry-3")
				caller := c.startAndDisconnect(t, 3)
				c.states["entry-1"], c.unreachable["entry-1"] = test.state, test.unreachable
				if err := c.resume(t.Context(), test.at, caller.cursor, caller); err != nil {
					t.Fatal(err)
				}
				if want := wholeText("p", 8); caller.text.String() != want || caller.last.Kind != stream.ItemDone {
					t.Errorf("caller received %q ending with %v, want %q", caller.text.String(), caller.last.Kind, want)
				}
			})
		})
	}
}

// TestResumeAfterEnd guards against a response without an end when the connection is lost at the last event.
func TestResumeAfterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fakeFleet{"a": newFakeEngine(3)}, "entry-1", "entry-2")
		caller := c.startAndDisconnect(t, 3)
		if err := c.resume(t.Context(), "entry-2", caller.cursor, caller); err != nil {
			t.Fatal(err)
		}
		if caller.last.Kind != stream.ItemDone || caller.text.String() != wholeText("p", 3) {
			t.Errorf("caller received %q ending with %v", caller.text.String(), caller.last.Kind)
		}
	})
}

// TestConcurrentResume guards against two readers of one generation: of several resumes with the same cursor at
// different instances, exactly one must succeed, also when the relay is gone and the instances have to agree without
// it.
func TestConcurrentResume(t *testing.T) {
	for _, state := range []pond.InstanceState{pond.InstanceLive, pond.InstanceGone} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1", "entry-2", "entry-3", "entry-4")
				caller := c.startAndDisconnect(t, 3)
				c.states["entry-1"] = state
				ids := []pond.InstanceID{"entry-2", "entry-3", "entry-3", "entry-4"}
				results := make(chan error, len(ids))
				for _, id := range ids {
					go func() { results <- c.resume(t.Context(), id, caller.cursor, &recorder{}) }()
				}
				succeeded := 0
				for range ids {
					switch err := <-results; {
					case err == nil:
						succeeded++
					case reasonOf(err) != pond.ReasonSuperseded:
						t.Errorf("error %v, want reason superseded", err)
					}
				}
				if succeeded != 1 {
					t.Errorf("%d resumes succeeded, want 1", succeeded)
				}
			})
		})
	}
}

// TestResumeWhileAttached guards against an old connection that continues after its caller has resumed at another
// instance.
func TestResumeWhileAttached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1", "entry-2")
		var first, second recorder
		resumed := make(chan error, 1)
		first.onItem = func(item stream.Item) {
			if item.Kind == stream.ItemToken && item.Offset == 2 {
				go func() { resumed <- c.resume(t.Context(), "entry-2", item.Cursor, &second) }()
			}
		}
		if err := c.relays["entry-1"].Generate(t.Context(), testRequest("p"), &first); err != nil {
			t.Fatal(err)
		}
		if first.last.Kind != stream.ItemError || first.last.Reason != pond.ReasonSuperseded || len(first.offsets) != 3 {
			t.Errorf("first connection received offsets %v ending with %+v, want 3 offsets and superseded", first.offsets, first.last)
		}
		if err := <-resumed; err != nil {
			t.Fatal(err)
		}
		if len(second.offsets) != 5 || second.last.Kind != stream.ItemDone {
			t.Errorf("second connection received offsets %v ending with %v", second.offsets, second.last.Kind)
		}
	})
}

// TestPartition guards against two instances that cannot reach each other and take a generation from each other
// endlessly.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fakeFleet{"a": newFakeEngine(500)}, "entry-1", "entry-2")
		var first, second recorder
		resumed := make(chan error, 1)
		first.onItem = func(item stream.Item) {
			if item.Kind == stream.ItemToken && item.Offset == 2 {
				c.states["entry-1"] = pond.InstanceGone
				go func() { resumed <- c.resume(t.Context(), "entry-2", item.Cursor, &second) }()
			}
		}
		if err := c.relays["entry-1"].Generate(t.Context(), testRequest("p"), &first); err != nil {
			t.Fatal(err)
		}
		if err := <-resumed; err != nil {
			t.Fatal(err)
		}
		if first.last.Kind != stream.ItemError || first.last.Reason != pond.ReasonSuperseded {
			t.Errorf("first reader ended with %+v, want superseded", first.last)
		}
		if second.last.Kind != stream.ItemDone || len(second.offsets) != 497 {
			t.Errorf("second reader received %d tokens ending with %v", len(second.offsets), second.last.Kind)
		}
	})
}

// TestLostBeforeFirstCursor guards against a caller that can no longer resume because the connection on which it
// resumed was lost before its new cursor arrived.
func TestLostBeforeFirstCursor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1", "entry-2", "entry-3")
		caller := c.startAndDisconnect(t, 3)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = c.resume(ctx, "entry-2", caller.cursor, &recorder{})
		if err := c.resume(t.Context(), "entry-3", caller.cursor, caller); err != nil {
			t.Fatal(err)
		}
		if caller.text.String() != wholeText("p", 8) {
			t.Errorf("caller received %q", caller.text.String())
		}
	})
}

// TestAbandoned guards against generations that continue although their callers did not resume within the limit, and
// against canceling one whose caller may still resume.
func TestAbandoned(t *testing.T) {
	tests := []struct {
		name     string
		tokens   int
		wait     time.Duration
		canceled int
	}{
		{name: "within the limit", tokens: 3, wait: 9 * time.Second, canceled: 0},
		{name: "after the limit", tokens: 3, wait: 11 * time.Second, canceled: 1},
		{name: "before the first token", tokens: 0, wait: 0, canceled: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1")
				if test.tokens > 0 {
					c.startAndDisconnect(t, test.tokens)
				} else {
					ctx, cancel := context.WithTimeout(t.Context(), tokenGap/2)
					defer cancel()
					_ = c.relays["entry-1"].Generate(ctx, testRequest("p"), &recorder{})
				}
				time.Sleep(test.wait)
				synctest.Wait()
				if got := len(c.fleet["a"].canceled); got != test.canceled {
					t.Errorf("%d generations were canceled, want %d", got, test.canceled)
				}
				if open := c.placer.open; open != 1-test.canceled {
					t.Errorf("%d placements are open, want %d", open, 1-test.canceled)
				}
			})
		})
	}
}

// TestParkedGenerationTakenOver guards against an instance that lost contact with the others and cancels a generation
// that one of them has taken over meanwhile.
func TestParkedGenerationTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 3000
		c := newCluster(fakeFleet{"a": newFakeEngine(length)}, "entry-1", "entry-2")
		caller := c.startAndDisconnect(t, 3)
		c.states["entry-1"] = pond.InstanceGone
		if err := c.resume(t.Context(), "entry-2", caller.cursor, caller); err != nil {
			t.Fatal(err)
		}
		if caller.last.Kind != stream.ItemDone || len(caller.offsets) != length {
			t.Errorf("caller received %d tokens ending with %+v", len(caller.offsets), caller.last)
		}
	})
}

// TestDrain guards against a shutdown that interrupts a stream that could finish, or ends one without a cursor for its
// caller to resume.
func TestDrain(t *testing.T) {
	tests := []struct {
		name  string
		limit time.Duration
		kind  stream.ItemKind
	}{
		{name: "streams finish", limit: time.Minute, kind: stream.ItemDone},
		{name: "streams move", limit: 3*tokenGap + tokenGap/2, kind: stream.ItemMove},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1", "entry-2")
				var caller recorder
				ended := make(chan error, 1)
				go func() { ended <- c.relays["entry-1"].Generate(t.Context(), testRequest("p"), &caller) }()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), test.limit)
				defer cancel()
				if err := c.relays["entry-1"].Drain(ctx); (err == nil) != (test.kind == stream.ItemDone) {
					t.Errorf("drain: %v", err)
				}
				if err := <-ended; err != nil || caller.last.Kind != test.kind {
					t.Fatalf("stream ended with %+v, error %v", caller.last, err)
				}
				if test.kind == stream.ItemMove {
					if err := c.resume(t.Context(), "entry-2", caller.last.Cursor, &caller); err != nil {
						t.Fatal(err)
					}
				}
				if caller.text.String() != wholeText("p", 8) {
					t.Errorf("caller received %q", caller.text.String())
				}
			})
		})
	}
}

// TestDrainRefusesWaiting guards against a shutdown that keeps requests waiting for a placement, or refuses them
// without the correct run state and a retry time.
func TestDrainRefusesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1")
		c.blockPlacement = make(chan struct{})
		ended := make(chan error, 1)
		go func() { ended <- c.relays["entry-1"].Generate(t.Context(), testRequest("p"), &recorder{}) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.relays["entry-1"].Drain(ctx); err == nil {
			t.Error("drain returned no error although a request had to be refused")
		}
		var refusal *pond.Refusal
		if err := <-ended; !errors.As(err, &refusal) || refusal.Reason() != pond.ReasonLeaving || refusal.Run() != pond.RunNo || refusal.RetryAt().IsZero() {
			t.Errorf("error %v, want reason leaving, run state no and a retry time", err)
		}
		close(c.blockPlacement)
	})
}

// TestForeignCursor guards against an account that reads the response of another one, and against altered cursors.
func TestForeignCursor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fakeFleet{"a": newFakeEngine(8)}, "entry-1")
		caller := c.startAndDisconnect(t, 3)
		body, tag, _ := strings.Cut(caller.cursor, ".")
		plain, err := base64.RawURLEncoding.DecodeString(body)
		if err != nil {
			t.Fatal(err)
		}
		forged := strings.Replace(string(plain), `"o":2`, `"o":0`, 1)
		altered := base64.RawURLEncoding.EncodeToString([]byte(forged)) + "." + tag
		for _, attempt := range []struct{ cursor, account string }{
			{caller.cursor, "other"}, {altered, "acme"}, {"", "acme"}, {"e30.", "acme"},
		} {
			if _, err := c.relays["entry-1"].OpenCursor(attempt.cursor, attempt.account); reasonOf(err) != pond.ReasonCursorInvalid {
				t.Errorf("cursor %q for %s: %v, want reason cursorInvalid", attempt.cursor, attempt.account, err)
			}
		}
	})
}

// takeoverMachine drives one caller that loses connections and resumes at instances, some of which are lost.
type takeoverMachine struct {
	cluster *cluster
	caller  *recorder
}

// TestTakeoverMachine guards against sequences of lost connections, reused cursors and lost instances after which a
// token is missing or repeated, or a response cannot be resumed, also with event faults.
func TestTakeoverMachine(t *testing.T) {
	const length = 30
	ids := []pond.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4"}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) takeoverStep {
			return takeoverStep{
				instance:     rapid.SampledFrom(ids).Draw(rt, "instance"),
				tokens:       rapid.IntRange(0, 5).Draw(rt, "tokens"),
				lostInstance: rapid.SampledFrom([]pond.InstanceID{"", "", "entry-1", "entry-2", "entry-3"}).Draw(rt, "lost"),
				copyAt:       rapid.SampledFrom(ids).Draw(rt, "parallel"),
				resumeCopy:   rapid.Bool().Draw(rt, "stale"),
			}
		}), 1, 8).Draw(rt, "steps")
		faults := rapid.MapOf(rapid.IntRange(1, length-1), rapid.SampledFrom(eventFaults)).Draw(rt, "faults")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			m := &takeoverMachine{cluster: newCluster(fakeFleet{"a": newFakeEngine(length)}, ids...)}
			m.cluster.fleet["a"].faults = maps.Clone(faults)
			m.caller = m.cluster.startAndDisconnect(t, 1)
			for _, step := range steps {
				if failure = m.step(t, step); failure != nil {
					return
				}
			}
			if failure = m.resume(t, "entry-4", 0); failure == nil && m.caller.text.String() != wholeText("p", length) {
				failure = errors.Errorf("caller received %q", m.caller.text.String())
			}
		})
		if failure != nil {
			rt.Fatalf("%v after %+v with faults %v", failure, steps, faults)
		}
	})
}

type takeoverStep struct {
	instance     pond.InstanceID
	tokens       int
	lostInstance pond.InstanceID
	copyAt       pond.InstanceID
	resumeCopy   bool
}

// step removes an instance, resumes the caller for some tokens, and meanwhile lets a copy of the caller resume with the
// old cursor. The copy must be refused while the caller is connected.
func (m *takeoverMachine) step(t *testing.T, step takeoverStep) error {
	if step.lostInstance != "" {
		m.cluster.states[step.lostInstance] = pond.InstanceGone
	}
	if m.cluster.states[step.instance] == pond.InstanceGone || m.cluster.states[step.copyAt] == pond.InstanceGone {
		return nil
	}
	old := m.caller.cursor
	var copyErr error
	m.caller.onItem = func(item stream.Item) {
		if step.resumeCopy && item.Kind == stream.ItemAttached {
			copyErr = m.cluster.resume(t.Context(), step.copyAt, old, &recorder{})
		}
	}
	// The copy must not resume in a later step, when its instance may be gone: it would then be a second caller on the
	// other side of a partition, which TestPartition covers.
	defer func() { m.caller.onItem = nil }()
	if err := m.resume(t, step.instance, step.tokens); err != nil {
		return err
	}
	if step.resumeCopy && m.caller.last.Kind != stream.ItemDone && reasonOf(copyErr) != pond.ReasonSuperseded {
		return errors.Errorf("resume of a copy with an old cursor: %v, want reason superseded", copyErr)
	}
	return nil
}

// resume resumes the caller for some tokens, or to the end if tokens is zero.
func (m *takeoverMachine) resume(t *testing.T, at pond.InstanceID, tokens int) error {
	m.caller.disconnectAfter = 0
	if tokens > 0 {
		m.caller.disconnectAfter = len(m.caller.offsets) + tokens
	}
	if err := m.cluster.resume(t.Context(), at, m.caller.cursor, m.caller); err != nil {
		return errors.Wrap(err, fmt.Sprintf("resume at %s", at))
	}
	for i, offset := range m.caller.offsets {
		if offset != i {
			return errors.Errorf("offsets %v are not consecutive", m.caller.offsets)
		}
	}
	return nil
}
