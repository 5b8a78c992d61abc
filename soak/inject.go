package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/link"
)

// injectFaults injects each event at its time and returns when all have ended. Each
// runs in a goroutine of its own, since events overlap.
func (f *fleet) injectFaults(ctx context.Context, events []event) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(e.at))):
		}
		fmt.Fprintln(f.options.Out, e)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.applyFault(ctx, e)
		}()
	}
}

// restartDelay is the time that the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

// storeOutage is how long the store is away before it comes back from an older copy.
const storeOutage = 500 * time.Millisecond

// restartIfExited starts a process that has exited. Since faults overlap, another one
// may have restarted it already.
func (f *fleet) restartIfExited(p *process) {
	if err := p.start(); err != nil {
		f.recordViolation("%v", err)
	}
}

// applyFault injects a fault and returns when it has ended: what it set is cleared,
// and what it stopped is restarted.
func (f *fleet) applyFault(ctx context.Context, e event) {
	node, target := f.nodes[e.node], f.targets[e.node]
	defer f.recordFault(e)()
	switch e.kind {
	case faultKill:
		node.signal(syscall.SIGKILL)
		node.waitOrKill(time.Second)
		time.Sleep(restartDelay)
		f.restartIfExited(node)
	case faultTerminate:
		node.signal(syscall.SIGTERM)
		node.waitOrKill(grace)
		time.Sleep(restartDelay)
		f.restartIfExited(node)
	case faultReload:
		node.signal(syscall.SIGHUP)
	case faultPause:
		node.signal(syscall.SIGSTOP)
		time.Sleep(e.duration)
		node.signal(syscall.SIGCONT)
	case faultTarget:
		f.setFaults(f.address(e.node, portTarget), e.targetFault)
		time.Sleep(e.duration)
		f.setFaults(f.address(e.node, portTarget), `{}`)
	case faultDrain:
		target.signal(syscall.SIGTERM)
		target.waitOrKill(drainTime + 2*callerTimeout)
		f.restartIfExited(target)
	case faultLink:
		for _, p := range []*link.Link{f.gateProxies[e.node], f.controlProxies[e.node]} {
			p.SetMode(e.linkMode)
		}
		time.Sleep(e.duration)
		for _, p := range []*link.Link{f.gateProxies[e.node], f.controlProxies[e.node]} {
			p.SetMode(link.Pass)
		}
	case faultLimit:
		for _, limit := range e.limits {
			f.setFaults(f.address(e.node, portTarget), fmt.Sprintf(`{"limit":%g}`, limit))
			time.Sleep(e.duration / 2)
		}
		f.setFaults(f.address(e.node, portTarget), `{}`)
	case faultLeave:
		f.setFaults(f.address(e.node, portTarget), `{"leaving":true}`)
		time.Sleep(e.duration)
		target.signal(syscall.SIGTERM)
		target.waitOrKill(drainTime + 2*callerTimeout)
		f.restartIfExited(target)
	case faultCrash:
		f.sendCrashingRequests(ctx, e.duration)
	case faultReset:
		f.gateProxies[e.node].ResetConns()
		f.controlProxies[e.node].ResetConns()
		f.storeProxies[e.node].ResetConns()
	case faultSilence:
		for _, links := range [][]*link.Link{f.storeProxies, f.controlProxies, f.gateProxies} {
			for _, l := range links {
				l.Silence()
			}
		}
		time.Sleep(e.duration)
		if err := f.publish(ctx); err != nil {
			f.recordViolation("publish: %v", err)
		}
	case faultStore:
		// The fault of the store itself affects all nodes. For half of them the
		// proxy to the store gets the link fault as well.
		for i := e.node % 2; i < len(f.storeProxies); i += 2 {
			f.storeProxies[i].SetMode(e.linkMode)
		}
		f.setFaults(f.storeAddress(), e.storeFault)
		time.Sleep(e.duration)
		f.setFaults(f.storeAddress(), `{}`)
		for _, p := range f.storeProxies {
			p.SetMode(link.Pass)
		}
	case faultRevert:
		f.setFaults(f.storeAddress(), `{"outage":true}`)
		time.Sleep(storeOutage)
		f.setFaults(f.storeAddress(), fmt.Sprintf(`{"revert_ms":%d}`, e.duration.Milliseconds()))
		// The operator writes again what the store has lost.
		if err := f.publish(ctx); err != nil {
			f.recordViolation("publish: %v", err)
		}
	case faultPublish:
		if err := f.publish(ctx); err != nil {
			f.recordViolation("publish: %v", err)
		}
	case faultRemoveKey, faultAddKey, faultQuota:
		if err := f.publishCustomers(ctx, e.changeCustomers); err != nil {
			f.recordViolation("publish: %v", err)
		}
	case faultOddRecord:
		f.writeOddRecords(ctx, e.node)
	case faultOddCall:
		f.makeOddCalls(ctx, e.node)
	case faultKillAfterLeave:
		f.killAfterLeave(e.node)
	case faultKillAll:
		for _, n := range f.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range f.nodes {
			n.waitOrKill(time.Second)
		}
		time.Sleep(restartDelay)
		for _, n := range f.nodes {
			f.restartIfExited(n)
		}
	}
}

// setFaults replaces the faults of a stand-in. Errors are ignored: a stand-in that is
// not running has no faults to replace.
func (f *fleet) setFaults(address, faults string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/faults", strings.NewReader(faults))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		res.Body.Close()
	}
}
