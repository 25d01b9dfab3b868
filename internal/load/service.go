package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// runNo is the run state of a refusal that says that the call did not run.
const runNo = "no"

// chargeName returns the last path element of an arrival's charge, which identifies it.
func chargeName(a Arrival) string { return "c" + strconv.Itoa(a.Number) }

// chargeKey returns the idempotency key of an attempt. Each attempt has its own suffix, because a key that was refused
// as not run stays refused.
func chargeKey(prefix, name string, attempt int) string {
	return prefix + ":" + name + "." + strconv.Itoa(attempt)
}

// chargeNameFromKey returns the charge name for a key under which a service counted an execution. A service counts a
// request without an idempotency key under "METHOD PATH".
func chargeNameFromKey(key string) string {
	if _, path, ok := strings.Cut(key, " "); ok {
		return path[strings.LastIndexByte(path, '/')+1:]
	}
	name, _, _ := strings.Cut(key[strings.LastIndexByte(key, ':')+1:], ".")
	return name
}

// sendCharge sends a call that may not run twice. A call whose outcome is unknown is repeated only under the same key;
// a new key is used only after a refusal that says "not run".
func (c *caller) sendCharge(ctx context.Context, o *outcome) {
	name := chargeName(o.arrival)
	body := fmt.Appendf(nil, `{"amount":%d}`, o.arrival.Number)
	entries := c.entryCaches[o.arrival.Account]
	address, key := "", ""
	for {
		var prefix string
		address, prefix = entries.pick(ctx, address)
		if key == "" {
			key = chargeKey(prefix, name, len(o.charge.notRunKeys))
		}
		req, err := c.newRequest(ctx, o, http.MethodPost, address, c.servicePath(name))
		if err != nil {
			return
		}
		// The body is set without GetBody, so that net/http doesn't send it again on its own.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		req.Header.Set("Idempotency-Key", key)
		p, answered := c.doServiceCall(req, o)
		if answered {
			o.charge.answeredKeys = append(o.charge.answeredKeys, key)
			return
		}
		if p.RunState == runNo {
			o.charge.notRunKeys = append(o.charge.notRunKeys, key)
			key = ""
			// The instance that issued the key may be leaving; another one issues the next.
			entries.invalidate()
		}
		if !c.waitAfterFailure(ctx, o, p) {
			return
		}
	}
}

// sendLookup sends a call that may be repeated freely.
func (c *caller) sendLookup(ctx context.Context, o *outcome) {
	entries := c.entryCaches[o.arrival.Account]
	address := ""
	for {
		address, _ = entries.pick(ctx, address)
		req, err := c.newRequest(ctx, o, http.MethodGet, address, c.servicePath("s"+strconv.Itoa(o.arrival.Account)))
		if err != nil {
			return
		}
		p, answered := c.doServiceCall(req, o)
		if answered || !c.waitAfterFailure(ctx, o, p) {
			return
		}
	}
}

func (c *caller) servicePath(name string) string {
	return "/services/" + c.target.Service + "/charges/" + name
}

// doServiceCall sends one request to a service and reports whether it was answered. A problem without a reason means
// that the connection failed.
func (c *caller) doServiceCall(req *http.Request, o *outcome) (problem, bool) {
	resp, err := c.client.Do(req)
	if err != nil {
		c.entryCaches[o.arrival.Account].invalidate()
		return problem{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp), false
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return problem{}, false
	}
	o.complete = true
	return problem{}, true
}

// waitAfterFailure waits before a failed service call is sent again. It reports false if the caller gives up.
func (c *caller) waitAfterFailure(ctx context.Context, o *outcome, p problem) bool {
	if p.Reason == "" {
		return c.waitToReconnect(ctx, o)
	}
	return c.waitToRetry(ctx, o, p)
}
