package gate

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
)

const (
	// crashCheckDelay is the time from the loss of a connection to the check whether the
	// target has ended. A process that ends closes its connections one after the other.
	crashCheckDelay = 20 * time.Millisecond
	// lossTTL is how long after the loss of a connection a target that refuses one is
	// taken to have ended then.
	lossTTL = 2 * time.Second
	// maxLosses bounds the lost requests that a check covers.
	maxLosses = 256
)

// loss is a request whose connection to the target has ended.
type loss struct {
	request fingerprint.Fingerprint
	// identity is that of the incarnation which ran the request.
	identity uint64
	instance string
	at       time.Time
}

// suspectCrash records that a connection to the target ended under a request. If it was
// closed, or another one ended as well, it checks soon whether the target has crashed. A
// single reset is the usual failure of a gray target; it counts if the next connection is
// refused.
func (g *Gate) suspectCrash(gr grant, request fingerprint.Fingerprint, isClosed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for len(g.losses) > 0 && (now.Sub(g.losses[0].at) > lossTTL || len(g.losses) >= maxLosses) {
		g.losses = g.losses[1:]
	}
	isSecond := len(g.losses) > 0 && now.Sub(g.losses[len(g.losses)-1].at) < crashCheckDelay
	g.losses = append(g.losses, loss{request: request, identity: gr.identity, instance: gr.instance, at: now})
	if (isClosed || isSecond) && !g.isCheckingCrash {
		g.isCheckingCrash = true
		go g.checkForCrash()
	}
}

// checkForCrash checks whether the target still accepts connections.
func (g *Gate) checkForCrash() {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	startedAt := time.Now()
	accepts, err := g.targetConns.CheckPeer(ctx)
	if err != nil && accepts {
		g.options.Logger.Warn("target not reached after a lost request", "reason", err)
	}
	if !accepts {
		g.confirmCrash()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCheckingCrash = false
	if err == nil {
		g.dropLosses(startedAt)
	}
}

// dropLosses forgets the losses before a time at which the target was running. The caller
// holds mu.
func (g *Gate) dropLosses(before time.Time) {
	for len(g.losses) > 0 && g.losses[0].at.Before(before) {
		g.losses = g.losses[1:]
	}
}

// confirmCrash records that the target has crashed under the requests that were lost
// lately.
func (g *Gate) confirmCrash() {
	now := time.Now()
	g.mu.Lock()
	losses := g.losses
	g.losses = nil
	g.mu.Unlock()
	crashes := map[uint64][]fingerprint.Fingerprint{}
	for _, l := range losses {
		if now.Sub(l.at) > lossTTL {
			continue
		}
		crashes[l.identity] = append(crashes[l.identity], l.request)
		g.options.Logger.Warn("target crashed under a request", "instance", l.instance, "fingerprint", l.request, "losses", len(losses))
	}
	for identity, requests := range crashes {
		g.options.Quarantine.RecordCrash(identity, requests, now)
	}
}
