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

// Run states in refusals.
const runNo = "no"

// chargeName identifies the charge of an arrival.
func chargeName(a Arrival) string { return "c" + strconv.Itoa(a.Number) }

// chargeKey returns the key of the attempt numbered attempt. Each attempt has a suffix of its own, because a key that
// was refused as not run stays refused.
func chargeKey(prefix, name string, attempt int) string {
	return prefix + ":" + name + "." + strconv.Itoa(attempt)
}

// chargeOfKey returns the name of the charge that a key under which a service counted an execution belongs to. A
// service that gets no key counts under "METHOD PATH".
func chargeOfKey(key string) string {
	if _, path, ok := strings.Cut(key, " "); ok {
		return path[strings.LastIndexByte(path, '/')+1:]
	}
	name, _, _ := strings.Cut(key[strings.LastIndexByte(key, ':')+1:], ".")
	return name
}

// charge sends a call that may not run twice. A call whose outcome is unknown is repeated only under the same key; a new
// key is used only after a refusal that says "not run".
func (c *caller) charge(ctx context.Context, o *outcome) {
	name := chargeName(o.arrival)
	body := fmt.Appendf(nil, `{"amount":%d}`, o.arrival.Number)
	directory := c.directories[o.arrival.Account]
	address, key := "", ""
	for {
		var prefix string
		address, prefix = directory.pick(ctx, address)
		if key == "" {
			key = chargeKey(prefix, name, len(o.charge.notRun))
		}
		req, err := c.request(ctx, o, http.MethodPost, address, c.servicePath(name))
		if err != nil {
			return
		}
		// The body is set without GetBody, so that net/http doesn't send it again on its own.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		req.Header.Set("Idempotency-Key", key)
		p, answered := c.call(req, o)
		if answered {
			o.charge.answered = append(o.charge.answered, key)
			return
		}
		if p.Run == runNo {
			o.charge.notRun = append(o.charge.notRun, key)
			key = ""
			// The instance that issued the key may be leaving; another one issues the next.
			directory.expire()
		}
		if !c.again(ctx, o, p) {
			return
		}
	}
}

// lookup sends a call that may be repeated freely.
func (c *caller) lookup(ctx context.Context, o *outcome) {
	directory := c.directories[o.arrival.Account]
	address := ""
	for {
		address, _ = directory.pick(ctx, address)
		req, err := c.request(ctx, o, http.MethodGet, address, c.servicePath("s"+strconv.Itoa(o.arrival.Account)))
		if err != nil {
			return
		}
		p, answered := c.call(req, o)
		if answered || !c.again(ctx, o, p) {
			return
		}
	}
}

func (c *caller) servicePath(name string) string {
	return "/services/" + c.target.Service + "/charges/" + name
}

// call sends one request to a service. A problem without a reason means that the connection failed.
func (c *caller) call(req *http.Request, o *outcome) (problem, bool) {
	resp, err := c.client.Do(req)
	if err != nil {
		c.directories[o.arrival.Account].expire()
		return problem{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp), false
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return problem{}, false
	}
	o.whole = true
	return problem{}, true
}

func (c *caller) again(ctx context.Context, o *outcome, p problem) bool {
	if p.Reason == "" {
		return c.reconnect(ctx, o)
	}
	return c.retry(ctx, o, p)
}
