package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func playPoison(r *record, trouble bool) (int, error) {
	const key = "xd9dnn2ctnfzs989anu6"
	c, err := newCluster(r)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	cfg := newConfig()
	cfg.addService("portal")
	kind, attempts := "idempotent", 2
	if os.Getenv("KIND") == "unsafe" {
		kind, attempts = "non_idempotent", 1
	}
	cfg.addRoute("lookup", "/lookup/", kind, "portal", 6000, attempts)
	cfg.Tenants = []tenant{{Name: "huka270", APIKeys: []string{key}}}
	cfg.publish(c.store)
	var mu sync.Mutex
	var crashes []time.Time
	late := 0
	sender := make(map[string]*instance)
	troubled := make(map[string]time.Time)
	note := func(i *instance) {
		mu.Lock()
		troubled[i.name] = time.Now()
		mu.Unlock()
	}
	serial := 0
	downTime := time.Duration(envInt("DOWN", 4000)) * time.Millisecond
	var begin func(zone string) error
	begin = func(zone string) error {
		mu.Lock()
		serial++
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+serial)
		mu.Unlock()
		rep, err := startReplica(c, id, "portal", zone, 6, 24, 30*time.Millisecond, 0)
		if err != nil {
			return err
		}
		rep.poison = "/lookup/poison"
		rep.onCrash = func(rep *replica, attempt string) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			i := sender[attempt]
			inTouch := time.Since(troubled[i.name]) > 4*time.Second
			counts := n > 3 && time.Since(crashes[2]) > 4*time.Second && inTouch
			if counts {
				late++
			}
			mu.Unlock()
			r.say("crash %d: %s under %s by %s, in touch: %t, counts: %t", n, rep.id, attempt, i.name, inTouch, counts)
			time.AfterFunc(3600*time.Millisecond, func() { c.store.remove("servers/" + rep.id) })
			time.AfterFunc(downTime, func() { _ = begin(zone) })
		}
		return nil
	}
	for n := range envInt("REPLICAS", 3) {
		if err := begin([]string{"attiki-a", "attiki-b", "makedonia-a"}[n%3]); err != nil {
			return 0, err
		}
	}
	if err := c.addInstances("attiki-a.attiki", "attiki-b.attiki", "makedonia-a.makedonia"); err != nil {
		return 0, err
	}
	if err := c.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	served, failed := 0, 0
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			group.Go(func() {
				got := send(c.instances[rand.IntN(3)].front(), "GET", host, fmt.Sprintf("/lookup/%d", n%50), key, 6*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if got.served() {
					served++
				} else {
					failed++
				}
			})
		}
	})
	if sig := os.Getenv("SIGNAL"); sig != "" {
		gap := time.Duration(envInt("KILLGAP", 3000)) * time.Millisecond
		go func() {
			time.Sleep(8 * time.Second)
			for n := 0; ; n++ {
				i := c.instances[n%3]
				note(i)
				if sig == "KILL" {
					i.kill()
				} else {
					_ = i.signal(syscall.SIGTERM)
					<-i.exited
				}
				time.Sleep(300 * time.Millisecond)
				select {
				case <-stop:
					return
				default:
				}
				_ = i.start()
				note(i)
				time.Sleep(gap)
			}
		}()
	}
	poisonGap := time.Duration(envInt("GAP", 1000)) * time.Millisecond
	for range envInt("SECONDS", 40) * 1000 / int(poisonGap.Milliseconds()) {
		if trouble {
			group.Go(func() {
				id, i := newAttemptID(), c.instances[rand.IntN(3)]
				mu.Lock()
				sender[id] = i
				mu.Unlock()
				got := sendAs(id, i.front(), "GET", host, "/lookup/poison", key, 6*time.Second)
				r.say("poison got %d", got.status)
			})
		}
		time.Sleep(poisonGap)
	}
	close(stop)
	group.Wait()
	r.say("%d crashes, %d later than 4 s after the third; sound requests: %d served, %d failed", len(crashes), late, served, failed)
	if late > 3 {
		return statusBroken, nil
	}
	return statusHeld, nil
}
