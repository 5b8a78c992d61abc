package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// inject brings the events about at their times. Each ends by itself; they
// overlap.
func (f *fleet) inject(ctx context.Context, events []event) {
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(e.at))):
		}
		fmt.Fprintln(f.options.Out, e)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.apply(ctx, e)
		}()
	}
}

// restartPause is how long the platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// restart starts a process that has ended.
func (f *fleet) restart(p *process) {
	if p.isRunning() {
		return
	}
	if err := p.start(); err != nil {
		f.breaks("%v", err)
	}
}

func (f *fleet) apply(ctx context.Context, e event) {
	node, target := f.nodes[e.node], f.targets[e.node]
	switch e.kind {
	case faultKill:
		node.signal(syscall.SIGKILL)
		node.await(time.Second)
		time.Sleep(restartPause)
		f.restart(node)
	case faultTerm:
		node.signal(syscall.SIGTERM)
		node.await(grace)
		time.Sleep(restartPause)
		f.restart(node)
	case faultSighup:
		node.signal(syscall.SIGHUP)
	case faultPause:
		node.signal(syscall.SIGSTOP)
		time.Sleep(e.lasts)
		node.signal(syscall.SIGCONT)
	case faultSick:
		f.fault(f.at(e.node, portTarget), e.sick)
		time.Sleep(e.lasts)
		f.fault(f.at(e.node, portTarget), `{}`)
	case faultDrain:
		target.signal(syscall.SIGTERM)
		target.await(drainTime + 2*callerTimeout)
		f.restart(target)
	case faultLink:
		for _, p := range []*proxy{f.links[e.node], f.controls[e.node]} {
			p.set(e.mode)
		}
		time.Sleep(e.lasts)
		for _, p := range []*proxy{f.links[e.node], f.controls[e.node]} {
			p.set(modePass)
		}
	case faultReset:
		f.links[e.node].resetAll()
		f.controls[e.node].resetAll()
		f.stores[e.node].resetAll()
	case faultStore:
		// Half of the nodes lose it by their link, all by the store itself.
		for i := e.node % 2; i < len(f.stores); i += 2 {
			f.stores[i].set(e.mode)
		}
		f.fault(f.storeAt(), e.store)
		time.Sleep(e.lasts)
		f.fault(f.storeAt(), `{}`)
		for _, p := range f.stores {
			p.set(modePass)
		}
	case faultPublish:
		if err := f.publish(ctx); err != nil {
			f.breaks("publish: %v", err)
		}
	case faultKillAll:
		for _, n := range f.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range f.nodes {
			n.await(time.Second)
		}
		time.Sleep(restartPause)
		for _, n := range f.nodes {
			f.restart(n)
		}
	}
}

// fault sets the faults of a stand-in. One that is not running has none.
func (f *fleet) fault(address, faults string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/faults", strings.NewReader(faults))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err == nil {
		res.Body.Close()
	}
}
