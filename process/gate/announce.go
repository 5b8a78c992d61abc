package gate

import (
	"fmt"
	"net"
	"strings"

	"github.com/cuminwheel/cuminwheel/process/roster"
)

// maxSlots bounds what a target may announce.
const maxSlots = 10_000

// AnnouncementError says what is wrong with an announcement.
type AnnouncementError struct {
	Field  string
	Remedy string
}

func (e *AnnouncementError) Error() string { return e.Field + ": " + e.Remedy }

// Check returns an *AnnouncementError for the first fault, or nil.
func (a Announcement) Check() error {
	if a.Service == "" {
		return &AnnouncementError{"service", "name the service that the target belongs to"}
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(strings.Trim(host, "[]")) == nil {
		return &AnnouncementError{"address", "give an IP number and a port, as in 127.0.0.1:9000"}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return &AnnouncementError{"slots", fmt.Sprintf("give a number from 1 to %d", maxSlots)}
	}
	if a.LeaseMillis < 0 {
		return &AnnouncementError{"lease_ms", "leave it out or give a number above 0"}
	}
	return nil
}

// Announce takes in or renews a target.
func (g *Gate) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	now := g.clock()
	p := g.pool(a.Service)
	p.mu.Lock()
	t := p.find(a.Address)
	if t == nil {
		t = newTarget(a, p.dial)
		p.targets = append(p.targets, t)
	}
	t.renew(a, now)
	p.refuseWaiting(now)
	p.grant()
	p.mu.Unlock()
	g.publish()
	return nil
}

// Withdraw takes a target out; its requests in progress go on.
func (g *Gate) Withdraw(address string) bool {
	found := false
	for _, p := range g.allPools() {
		p.mu.Lock()
		if t := p.find(address); t != nil {
			p.remove(t)
			p.refuseWaiting(g.clock())
			found = true
		}
		p.mu.Unlock()
	}
	if found {
		g.bids.Return(address)
		g.publish()
	}
	return found
}

// expire takes out targets whose lease has lapsed.
func (g *Gate) expire() {
	now := g.clock()
	for _, p := range g.allPools() {
		p.mu.Lock()
		for _, t := range append([]*target(nil), p.targets...) {
			if now.Before(t.leaseUntil) {
				continue
			}
			p.remove(t)
			g.logger.Warn("target's announcement lapsed", "service", p.service, "target", t.announced.Address)
		}
		p.refuseWaiting(now)
		p.mu.Unlock()
	}
}

// publish hands the present targets to the node when they have changed.
func (g *Gate) publish() {
	list := g.Targets()
	g.mu.Lock()
	defer g.mu.Unlock()
	if sameTargets(g.published, list) {
		return
	}
	g.published = list
	g.onChange(list)
}

// Targets returns all announced targets.
func (g *Gate) Targets() []roster.Target {
	now := g.clock()
	var list []roster.Target
	for _, p := range g.allPools() {
		p.mu.Lock()
		for _, t := range p.targets {
			list = append(list, roster.Target{
				Service: p.service,
				Address: t.announced.Address,
				Slots:   t.announced.Slots,
				State:   t.state(now),
			})
		}
		p.mu.Unlock()
	}
	return list
}

func sameTargets(a, b []roster.Target) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (p *Pool) find(address string) *target {
	for _, t := range p.targets {
		if t.announced.Address == address {
			return t
		}
	}
	return nil
}

func (p *Pool) remove(gone *target) {
	for i, t := range p.targets {
		if t == gone {
			p.targets = append(p.targets[:i:i], p.targets[i+1:]...)
			return
		}
	}
}
