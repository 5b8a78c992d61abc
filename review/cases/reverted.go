package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the disruption: a write of the operator is done 5.5 s later and is not
// answered (platform_lost, how late: 1 to 6 s).
const lateWrite = 5500 * time.Millisecond

// caseReverted publishes three versions with the project's command, one after the other,
// and then kills all nodes. With trouble, the store carries out the first write of the
// second version late and does not answer it.
func caseReverted(f *fleet, rec *record) (broken bool) {
	return publishAndRestart(f, rec, lossyStore(f, rec), func(store, host string) {
		publishWithCommand(f, store, 5, host, "reparto", 1500)
		publishWithCommand(f, store, 6, host, "nomina", 1500)
	})
}

// caseRace is caseReverted with two operators who publish version 5 and version 6 at almost
// the same time; with trouble, the store is slow.
func caseRace(f *fleet, rec *record) (broken bool) {
	return publishAndRestart(f, rec, slowStore(f), func(store, host string) {
		var operators sync.WaitGroup
		operators.Go(func() { publishWithCommand(f, store, 6, host, "nomina", 1500) })
		operators.Go(func() {
			time.Sleep(100 * time.Millisecond)
			publishWithCommand(f, store, 5, host, "reparto", 1500)
		})
		operators.Wait()
	})
}

// publishAndRestart publishes version 4, lets publish bring version 6 into force, kills and
// restarts all nodes and reports whether version 6 is still in force.
func publishAndRestart(f *fleet, rec *record, operatorStore string, publish func(store, host string)) (broken bool) {
	const host, budget = "jepu9.example", 1500 * time.Millisecond
	nodes := []*node{
		f.newNode("sidecar-bajio-a-1", "bajio-a", "tablero"),
		f.newNode("sidecar-bajio-a-2", "bajio-a", "reparto"),
		f.newNode("sidecar-bajio-b-1", "bajio-b", "nomina"),
	}
	entry := nodes[0]
	servers := map[string]*server{}
	for _, n := range nodes {
		s := &server{id: "i-" + n.service, service: n.service, zone: n.zone, address: n.app, slots: 3, work: 50 * time.Millisecond, rec: rec}
		s.serve()
		go s.ping(context.Background(), n.admin)
		servers[n.service] = s
	}
	claim := func() answer {
		return send(entry.outbound, "POST", host, "/puka111/claim", newID(), budget, nil, "shift")
	}

	publishWithCommand(f, operatorStore, 4, host, "reparto", 1400)
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)
	publish(operatorStore, host)
	confirmedAt := time.Now()
	time.Sleep(3 * time.Second)
	before := len(servers["nomina"].runsOf())
	for range 5 {
		rec.add("claim before the restart: status %d", claim().status)
	}
	if len(servers["nomina"].runsOf()) != before+5 {
		must(fmt.Errorf("version 6 is not in force before the restart"))
	}
	for _, n := range nodes {
		n.process.signal(syscall.SIGKILL)
	}
	rec.add("all nodes have been killed")
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		n.restart()
	}
	for _, n := range nodes {
		n.awaitReady()
	}
	// The nodes are in touch again after stability_window.
	time.Sleep(6 * time.Second)
	old := len(servers["reparto"].runsOf())
	const claims = 40
	for range claims {
		rec.add("claim %.1f s after the confirmation of version 6: status %d", time.Since(confirmedAt).Seconds(), claim().status)
		time.Sleep(100 * time.Millisecond)
	}
	reverted := len(servers["reparto"].runsOf()) - old
	rec.add("%d of %d claims were run by the old service", reverted, claims)
	fmt.Println(reverted, "of", claims, "claims were run by the old service")
	return reverted > 0
}

// slowDelay is the time that a slow store takes for a call (platform_slow, x 50 of 4 ms).
const slowDelay = 200 * time.Millisecond

// slowStore returns the address at which operators reach the store. With trouble, each
// call through it takes slowDelay.
func slowStore(f *fleet) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.store})
	address := freeAddress()
	go http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if trouble {
			time.Sleep(slowDelay)
		}
		proxy.ServeHTTP(w, r)
	}))
	time.Sleep(100 * time.Millisecond)
	return address
}

// publishWithCommand publishes a version with "cuminwheel publish" and reports whether the
// command succeeded.
func publishWithCommand(f *fleet, store string, version int, host, service string, timeout int) (confirmed bool) {
	draft := map[string]any{
		"version":  version,
		"services": []map[string]any{{"name": "tablero"}, {"name": "reparto"}, {"name": "nomina"}},
		"routes": []map[string]any{{"name": "claim", "host": host, "prefix": "/puka111/", "never_repeat": true, "timeout_ms": timeout,
			"target_latency_ms": 800, "max_attempts": 2, "parts": []map[string]any{{"service": service, "weight": 1}}}},
	}
	b, err := json.Marshal(draft)
	must(err)
	path := filepath.Join(f.dir, fmt.Sprintf("version-%d.json", version))
	must(os.WriteFile(path, b, 0o644))
	out, err := exec.Command(program, "publish", "--store", store, path).CombinedOutput()
	f.rec.add("publish of version %d: %s (%v)", version, strings.TrimSpace(string(out)), err)
	return err == nil
}

// lossyStore returns the address at which the operator reaches the store. With trouble, the
// second write of a configuration through it is carried out late and gets no answer.
func lossyStore(f *fleet, rec *record) string {
	target := &url.URL{Scheme: "http", Host: f.store}
	proxy := httputil.NewSingleHostReverseProxy(target)
	var mu sync.Mutex
	writes := 0
	address := freeAddress()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			proxy.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		writes++
		isLost := trouble && writes == 2
		mu.Unlock()
		if !isLost {
			r.Body = io.NopCloser(bytes.NewReader(body))
			proxy.ServeHTTP(w, r)
			return
		}
		rec.add("the store does not answer a write and carries it out %v later", lateWrite)
		uri := "http://" + f.store + r.URL.RequestURI()
		time.AfterFunc(lateWrite, func() {
			resp, err := http.Post(uri, "application/octet-stream", bytes.NewReader(body))
			if err != nil {
				return
			}
			resp.Body.Close()
			rec.add("the late write is done: status %d", resp.StatusCode)
		})
		<-r.Context().Done()
	})
	go http.ListenAndServe(address, handler)
	time.Sleep(100 * time.Millisecond)
	return address
}
