package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func playBodies(r *record, trouble bool) (int, error) {
	c, err := newCluster(r)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	cfg := newConfig()
	cfg.addService("portal")
	cfg.addRoute("confirm", "/confirm/", "non_idempotent", "portal", 6000, 1)
	cfg.addRoute("lookup", "/lookup/", "idempotent", "portal", 6000, 2)
	cfg.Routes[0].AuthExempt, cfg.Routes[1].AuthExempt = true, true
	cfg.publish(c.store)
	var reps []*replica
	for n := range 3 {
		rep, err := startReplica(c, fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "portal", "attiki-a", 6, 24, 20*time.Millisecond, 0)
		if err != nil {
			return 0, err
		}
		rep.hashes = make(map[string]string)
		reps = append(reps, rep)
	}
	if err := c.addInstances("attiki-a.attiki", "attiki-b.attiki", "makedonia-a.makedonia"); err != nil {
		return 0, err
	}
	if err := c.startAll(); err != nil {
		return 0, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for range 400 {
		size := []int{0, 10, 60 << 10, 64 << 10, 64<<10 + 1, 200 << 10, 1 << 20, 4 << 20}[rand.IntN(8)]
		chunked, path := rand.IntN(2) == 0, []string{"/confirm/x", "/lookup/y"}[rand.IntN(2)]
		i := c.instances[rand.IntN(3)]
		group.Go(func() {
			body := make([]byte, size)
			for n := range body {
				body[n] = byte(rand.Uint32())
			}
			id := newAttemptID()
			var reader io.Reader = bytes.NewReader(body)
			if chunked {
				reader = io.MultiReader(reader)
			}
			in, _ := http.NewRequest("POST", "http://"+i.front()+path, reader)
			in.Host = host
			in.Header.Set("X-Attempt-Id", id)
			in.Header.Set("X-Deadline-Ms", "6000")
			client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(in)
			status := "error"
			if err == nil {
				status = resp.Status
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			sum := sha256.Sum256(body)
			want, ran := hex.EncodeToString(sum[:]), ""
			n := 0
			for _, rep := range reps {
				rep.mu.Lock()
				if got, ok := rep.hashes[id]; ok {
					n++
					if got != want {
						ran += " WRONG"
					}
				}
				rep.mu.Unlock()
			}
			mu.Lock()
			counts[fmt.Sprintf("%s size>64K:%t chunked:%t ran:%d%s", status, size > 64<<10, chunked, n, ran)]++
			mu.Unlock()
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	for k, v := range counts {
		r.say("%5d %s", v, k)
	}
	return 0, nil
}
