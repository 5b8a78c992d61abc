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
	// maxLosses bounds the lost requests that a check covers.
	maxLosses = 256
)

// loss is a request whose connection to the target has ended.
type loss struct {
	request fingerprint.Fingerprint
	// identity is that of the incarnation which ran the request.
	identity uint64
	instance string
}

// suspectCrash checks soon whether the target has crashed under a request. A gray target
// resets connections too, but still accepts new ones.
func (g *Gate) suspectCrash(gr grant, request fingerprint.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.losses) >= maxLosses {
		return
	}
	g.losses = append(g.losses, loss{request: request, identity: gr.identity, instance: gr.instance})
	if !g.isCheckingCrash {
		g.isCheckingCrash = true
		go g.checkForCrashes()
	}
}

// checkForCrashes checks the losses until there are none.
func (g *Gate) checkForCrashes() {
	for {
		time.Sleep(crashCheckDelay)
		g.mu.Lock()
		losses := g.losses
		g.losses = nil
		identity := g.target.restrictions.identity
		g.isCheckingCrash = len(losses) > 0
		g.mu.Unlock()
		if len(losses) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		accepts, err := g.targetConns.CheckPeer(ctx)
		cancel()
		if err != nil && accepts {
			g.options.Logger.Warn("target not reached after a lost request", "reason", err)
		}
		crashes := map[uint64][]fingerprint.Fingerprint{}
		for _, l := range losses {
			if !accepts || l.identity != identity {
				crashes[l.identity] = append(crashes[l.identity], l.request)
				g.options.Logger.Warn("target crashed under a request", "instance", l.instance, "fingerprint", l.request, "losses", len(losses))
			}
		}
		for identity, requests := range crashes {
			g.options.Quarantine.RecordCrash(identity, requests, time.Now())
		}
	}
}
