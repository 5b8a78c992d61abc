package soak

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/peerrpc"
	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/standin/odd"
)

// Kinds of faults that other writers cause, and the kill of a node whose target leaves.
const (
	// faultOddRecord writes odd records among those of the nodes.
	faultOddRecord = "odd_record"
	// faultOddCall makes odd calls to the admin and the control address of a node.
	faultOddCall = "odd_call"
	// faultKillAfterLeave kills a node that has just confirmed the leave of its target.
	faultKillAfterLeave = "kill_after_leave"
)

const (
	// killAfterLeaveDelay is the time between the signal to a target and the kill of its
	// node. The node confirms the leave in between.
	killAfterLeaveDelay = 150 * time.Millisecond
	// lateAnnouncement is how late an announcement from before its leave arrives from each
	// target. A killed node has restarted by then.
	lateAnnouncement = 1200 * time.Millisecond
	// oddCallTimeout limits each odd call.
	oddCallTimeout = time.Second
)

// insertOddEntries adds odd records and calls to three of four schedules, and nodes that are
// killed after the leave of their target. It draws from random numbers of its own, as
// insertReversion does.
func insertOddEntries(events []event, seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 81))
	for _, kind := range []string{faultOddRecord, faultOddRecord, faultOddCall, faultOddCall, faultKillAfterLeave, faultKillAfterLeave} {
		if rng.IntN(4) == 0 {
			continue
		}
		e := event{at: time.Duration(rng.Int64N(int64(duration - lastFaultMargin))), kind: kind, node: rng.IntN(nodes)}
		events = insertInOrder(events, e)
	}
	return events
}

// writeOddRecords writes the odd records. Calls that the store rejects are no violation.
func (f *fleet) writeOddRecords(ctx context.Context, node int) {
	client, closeClient := platform.NewStore(f.storeAddress())
	defer closeClient()
	for key, value := range odd.Records(f.address(node, portControlLink), f.address(node, portGateLink), f.serviceOf(node)) {
		_ = client.Put(ctx, odd.RecordTopic, key, []byte(value))
	}
}

// makeOddCalls makes odd calls to the admin address of a node, and sends messages and bytes
// of no meaning to its control address.
func (f *fleet) makeOddCalls(ctx context.Context, node int) {
	ctx, cancel := context.WithTimeout(ctx, oddCallTimeout)
	defer cancel()
	for _, call := range odd.Calls(f.address(node, portTarget), f.serviceOf(node)) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address(node, portAdmin)+call.Path, strings.NewReader(call.Body))
		if err != nil {
			continue
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue // the node may be down
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			f.recordViolation("node %d confirmed an odd call: %.80s", node, call.Body)
		}
	}
	f.sendOddMessage(ctx, node)
	for _, b := range []string{strings.Repeat("\x91", 100_000), strings.Repeat("\xdd\xff\xff\xff\xff", 10), "GET / HTTP/1.1\r\n\r\n"} {
		sendBytes(ctx, f.address(node, portControl), b)
	}
}

// sendOddMessage sends records, versions and evidence that no node can have.
func (f *fleet) sendOddMessage(ctx context.Context, node int) {
	pool, closePool := peerrpc.NewPool()
	defer closePool()
	own := f.address(node, portControlLink)
	message := membership.Message{
		Sender: "127.0.0.9:70000", ConfigurationVersion: math.MaxUint64, ConfigurationHolder: "nowhere", BucketCount: math.MaxInt, WantedBuckets: []int{-1, math.MaxInt},
		Records: []membership.Record{
			{ControlAddress: own, GateAddress: own, Service: "odd", Incarnation: math.MaxInt64},
			{ControlAddress: "127.0.0.9:70000", GateAddress: own, Service: f.serviceOf(node), Incarnation: 5},
			{ControlAddress: "127.0.0.9:1", GateAddress: "127.0.0.9:2", Service: f.serviceOf(node), Incarnation: math.MinInt64},
		},
	}
	for _, method := range []string{"Roster.Compare", "Roster.Tell", "Roster.Fetch"} {
		_ = pool.Call(ctx, f.address(node, portControl), method, message, &membership.Message{})
	}
}

// sendBytes sends bytes on a connection of its own and waits until the peer closes it or ctx
// ends.
func sendBytes(ctx context.Context, address, bytes string) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(oddCallTimeout / 4))
	if _, err := io.WriteString(conn, bytes); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// killAfterLeave ends the target of a node, kills the node right after it has confirmed
// that, and restarts both. The target goes on serving for drainTime, and an announcement
// from before its leave arrives in that time.
func (f *fleet) killAfterLeave(node int) {
	f.targets[node].signal(syscall.SIGTERM)
	time.Sleep(killAfterLeaveDelay)
	f.nodes[node].signal(syscall.SIGKILL)
	f.nodes[node].waitOrKill(time.Second)
	time.Sleep(restartDelay)
	f.restartIfExited(f.nodes[node])
	f.targets[node].waitOrKill(drainTime + 2*callerTimeout)
	f.restartIfExited(f.targets[node])
}
