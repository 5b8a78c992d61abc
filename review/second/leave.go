package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["leave-clock"] = leaveClock
	addresses["leave-clock"] = ipsOf(4)
}

// drain is the bound of the settings.
const drain = 2500 * time.Millisecond

// startRides starts a node on each VM, and a server beside all but the first.
func startRides(f *fleet, name string, l *ledger) {
	for i, ip := range addresses[name] {
		f.addVM(fmt.Sprintf("n%d", i+1), ip, []string{"za", "zb"}[i%2], "ra", "rides").startNode(true)
	}
	f.publish(plainConfig)
	for i, v := range f.vms {
		f.await("readiness of "+v.name, v.isReady)
		if i > 0 {
			v.startTarget(fmt.Sprintf("i-%08x", 0x62b11c00+i), 3, 30*time.Millisecond, l)
		}
	}
	time.Sleep(3 * time.Second)
}

// stabilityWindow is the bound of the settings: a machine is in touch again so long after the end
// of a disturbance.
const stabilityWindow = 4 * time.Second

// judgeLeave checks that no request reached the server that left later than the bound. Requests
// before inTouch, when a machine on the way was disturbed lately, are left out.
func judgeLeave(f *fleet, requests []sent, l *ledger, confirmed, inTouch time.Time) string {
	f.record.say("judged: requests that run from %.3f on, when all machines are in touch and the bound is over", max(confirmed.Add(drain).Sub(f.record.start), inTouch.Sub(f.record.start)).Seconds())
	recordSent(f, requests)
	late := 0
	for _, a := range l.all() {
		f.record.add("ran %s at %.3f by %s", a.id, a.at.Sub(f.record.start).Seconds(), a.instance)
		if a.instance == "i-leaving1" && !confirmed.IsZero() && a.at.After(confirmed.Add(drain)) && a.at.After(inTouch) {
			f.record.add("that is %v after the confirmation", a.at.Sub(confirmed))
			late++
		}
	}
	f.record.say("requests that ran at the server that left, later than %v after the confirmation: %d", drain, late)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a server later than %v after the confirmation that it is gone", late, drain)
	}
	return ""
}

// leaveClock has a server crash and start again under its id, with a clock that was set back
// meanwhile, and leave.
func leaveClock(f *fleet) string {
	l := &ledger{}
	startRides(f, "leave-clock", l)
	var requests []sent
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	load(f, f.vms, 20, "", &requests, &mu, stop, &wg)
	v := f.vms[0]
	step := -2400 * time.Millisecond
	if !trouble {
		step = 0
	}
	first := v.startTargetBorn("i-leaving1", time.Now(), 3, 30*time.Millisecond, l)
	time.Sleep(1000 * time.Millisecond)
	f.record.say("platform: the time of day on %s jumps by %v", v.name, step)
	disturbed := time.Now()
	first.close()
	f.record.say("target: i-leaving1 has crashed")
	time.Sleep(500 * time.Millisecond)
	second := v.startTargetBorn("i-leaving1", time.Now().Add(step), 3, 30*time.Millisecond, l)
	time.Sleep(300 * time.Millisecond)
	second.mu.Lock()
	second.silent = true
	second.mu.Unlock()
	confirmed := second.leave()
	time.Sleep(time.Until(confirmed.Add(drain + 5*time.Second)))
	second.close()
	f.record.say("target: i-leaving1 exits")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return judgeLeave(f, requests, l, confirmed, disturbed.Add(stabilityWindow))
}

func init() {
	cases["leave-late"] = leaveLate
	addresses["leave-late"] = ipsOf(4)
}

// leaveLate has a server crash and start again under its id, and leave. Its node is killed, and
// a heartbeat from before the crash arrives late.
func leaveLate(f *fleet) string {
	l := &ledger{}
	startRides(f, "leave-late", l)
	var requests []sent
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	load(f, f.vms, 20, "", &requests, &mu, stop, &wg)
	v := f.vms[0]
	first := v.startTarget("i-leaving1", 3, 30*time.Millisecond, l)
	time.Sleep(3 * time.Second)
	first.close()
	f.record.say("target: i-leaving1 has crashed; its last heartbeat is still on its way")
	time.Sleep(500 * time.Millisecond)
	second := v.startTarget("i-leaving1", 3, 30*time.Millisecond, l)
	time.Sleep(2 * time.Second)
	second.mu.Lock()
	second.silent = true
	second.mu.Unlock()
	confirmed := second.leave()
	disturbed := time.Now()
	if trouble {
		v.signal(syscall.SIGKILL)
		v.awaitExit()
		time.Sleep(300 * time.Millisecond)
		v.startNode(false)
		disturbed = time.Now()
		f.await("readiness of "+v.name, v.isReady)
		time.Sleep(500 * time.Millisecond)
	}
	f.record.say("target: the heartbeat of the first lifetime arrives, confirmed %v", first.beat())
	time.Sleep(time.Until(confirmed.Add(drain + 5*time.Second)))
	second.close()
	f.record.say("target: i-leaving1 exits")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return judgeLeave(f, requests, l, confirmed, disturbed.Add(stabilityWindow))
}

func init() {
	cases["leave-forgotten"] = leaveForgotten
	addresses["leave-forgotten"] = ipsOf(4)
}

// leaveForgotten has a server leave while the store is down, all nodes killed after the
// confirmation, and a heartbeat from before the leave arrive late.
func leaveForgotten(f *fleet) string {
	l := &ledger{}
	startRides(f, "leave-forgotten", l)
	var requests []sent
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	load(f, f.vms, 20, "", &requests, &mu, stop, &wg)
	t := f.vms[0].startTarget("i-leaving1", 3, 30*time.Millisecond, l)
	time.Sleep(4 * time.Second)
	if trouble {
		f.setStoreFaults(map[string]any{"outage": true})
		time.Sleep(500 * time.Millisecond)
	}
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
	f.record.say("target: the next heartbeat of i-leaving1 is on its way")
	confirmed := t.leave()
	disturbed := time.Now()
	if trouble {
		time.Sleep(200 * time.Millisecond)
		for _, v := range f.vms {
			v.signal(syscall.SIGKILL)
		}
		for _, v := range f.vms {
			v.awaitExit()
		}
		time.Sleep(300 * time.Millisecond)
		for _, v := range f.vms {
			v.startNode(false)
		}
		time.Sleep(500 * time.Millisecond)
		f.setStoreFaults(map[string]any{"outage": false})
		disturbed = time.Now()
	}
	time.Sleep(time.Until(confirmed.Add(3500 * time.Millisecond)))
	f.record.say("target: the heartbeat from before the leave arrives, confirmed %v", t.beat())
	time.Sleep(time.Until(confirmed.Add(drain + 7*time.Second)))
	t.close()
	f.record.say("target: i-leaving1 exits")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return judgeLeave(f, requests, l, confirmed, disturbed.Add(stabilityWindow))
}
