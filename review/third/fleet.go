// Command third is the driver of the scripted cases of the third review. It starts a store
// stand-in and nodes as separate processes, plays the servers and the requesters itself, and
// checks one rule of the users' pages.
package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir       string
	binary    string
	storeAddr string
	store     *exec.Cmd
	nodes     []*node
	record    *record
	startedAt time.Time
	trouble   bool
	nextID    atomic.Int64
	run       string
}

// node is a node with the server beside it.
type node struct {
	fleet   *fleet
	index   int
	ip      string
	zone    string
	region  string
	service string
	ports   ports
	cmd     *exec.Cmd
	exited  chan struct{}
	target  *target
}

type ports struct{ inbound, app, readiness, outbound, admin, control, metrics int }

func (n *node) addr(port int) string { return net.JoinHostPort(n.ip, fmt.Sprint(port)) }

// record writes what is seen to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the case as one that could not run.
func (f *fleet) must(err error, what string) {
	if err != nil {
		f.record.printf("cannot run: %s: %v", what, err)
		fmt.Fprintf(os.Stderr, "cannot run: %s: %v\n", what, err)
		f.stop()
		os.Exit(exitFailed)
	}
}

func newFleet(caseDir string) *fleet {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		log.Print(err)
		os.Exit(exitFailed)
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		log.Print(err)
		os.Exit(exitFailed)
	}
	f := &fleet{dir: dir, startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0", run: fmt.Sprintf("%08x", rand.Uint32())}
	f.record = &record{file: file, start: f.startedAt}
	f.binary = os.Getenv("CUMINWHEEL")
	if f.binary == "" {
		f.binary = "target/cuminwheel"
	}
	f.record.printf("trouble: %v", f.trouble)
	return f
}

// taken are the ports that were given out.
var taken = map[string]bool{}

// freePorts returns the first of some successive free ports below the range from which the
// kernel takes the ports of outgoing connections.
func freePorts(ip string, count int) int {
	for range 500 {
		first := 20000 + rand.IntN(12000)
		free := true
		for p := first; p < first+count; p++ {
			address := net.JoinHostPort(ip, fmt.Sprint(p))
			l, err := net.Listen("tcp", address)
			if err == nil {
				l.Close()
			}
			free = free && err == nil && !taken[address]
		}
		if !free {
			continue
		}
		for p := first; p < first+count; p++ {
			taken[net.JoinHostPort(ip, fmt.Sprint(p))] = true
		}
		return first
	}
	return 0
}

// startStore starts the project's stand-in for the platform's store.
func (f *fleet) startStore() {
	f.storeAddr = net.JoinHostPort("127.0.0.1", fmt.Sprint(freePorts("127.0.0.1", 1)))
	f.store = exec.Command(f.binary, "standin", "store", "--listen", f.storeAddr)
	f.store.Stdout, f.store.Stderr = f.logFile("store")
	f.store.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.must(f.store.Start(), "start the store")
	f.await(5*time.Second, "the store accepts calls", func() bool {
		c, err := net.DialTimeout("tcp", f.storeAddr, 200*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

func (f *fleet) logFile(name string) (io.Writer, io.Writer) {
	file, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	f.must(err, "open a log")
	return file, file
}

// await waits until a condition holds.
func (f *fleet) await(limit time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.must(fmt.Errorf("not within %v", limit), what)
}

// put writes a record of the operator to the store.
func (f *fleet) put(key string, value []byte) {
	rec := append([]byte{byte(len(key))}, key...)
	rec = append(rec, value...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(rec))), rec...)
	resp, err := http.Post("http://"+f.storeAddr+wire("append_call"), "application/octet-stream", bytes.NewReader(body))
	f.must(err, "write to the store")
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.must(fmt.Errorf("status %d", resp.StatusCode), "write to the store")
	}
}

func (f *fleet) publish(c map[string]any) {
	b, err := json.Marshal(c)
	f.must(err, "encode the configuration")
	f.put("config", b)
	f.record.printf("operator: configuration %v confirmed", c["version"])
}

// addNode prepares a node. Zones are one per region.
func (f *fleet) addNode(service string) *node {
	i := len(f.nodes)
	zones := []string{"a", "b", "c"}
	n := &node{fleet: f, index: i, ip: fmt.Sprintf("127.0.88.%d", 11+i), service: service}
	n.zone, n.region = "zone-"+zones[i%3], "region-"+zones[i%3]
	p := freePorts(n.ip, 7)
	n.ports = ports{inbound: p, app: p + 1, readiness: p + 2, outbound: p + 3, admin: p + 4, control: p + 5, metrics: p + 6}
	f.nodes = append(f.nodes, n)
	return n
}

// settings writes the settings file of a node in the platform's format.
func (n *node) settings(bootstrap bool) string {
	path := filepath.Join(n.fleet.dir, fmt.Sprintf("settings-%d.toml", n.index))
	text := strings.NewReplacer("{node_zone}", n.zone, "{index}", fmt.Sprint(n.index), "{ip}", n.ip, "{zone}", n.zone, "{region}", n.region,
		"{control}", fmt.Sprint(n.ports.control), "{metrics}", fmt.Sprint(n.ports.metrics), "{bootstrap}", fmt.Sprint(bootstrap),
		"{app}", n.addr(n.ports.app), "{service}", n.service, "{inbound}", n.addr(n.ports.inbound), "{outbound}", n.addr(n.ports.outbound),
		"{readiness}", n.addr(n.ports.readiness), "{admin}", n.addr(n.ports.admin), "{store}", n.fleet.storeAddr).Replace(settingsText)
	n.fleet.must(os.WriteFile(path, []byte(text), 0o644), "write settings")
	return path
}

// start starts the node's process with the command of the deploy file.
func (n *node) start(bootstrap bool) {
	n.cmd = exec.Command(n.fleet.binary, "node")
	n.cmd.Env = []string{"CUMINWHEEL_CONFIG=" + n.settings(bootstrap), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = n.fleet.logFile(fmt.Sprintf("node-%d", n.index))
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.fleet.must(n.cmd.Start(), "start a node")
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	n.fleet.record.printf("platform: node %d started", n.index)
}

func (n *node) signal(s syscall.Signal) {
	n.fleet.record.printf("platform: node %d gets %v", n.index, s)
	n.cmd.Process.Signal(s)
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + n.addr(n.ports.readiness) + wire("ready_call"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() {
	for _, n := range f.nodes {
		f.await(20*time.Second, fmt.Sprintf("node %d is ready", n.index), n.isReady)
	}
	f.record.printf("platform: all nodes are ready")
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if f.store != nil && f.store.Process != nil {
		f.store.Process.Kill()
		f.store.Wait()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		os.RemoveAll(keep)
		exec.Command("cp", "-r", f.dir, keep).Run()
	}
	os.RemoveAll(f.dir)
}

// end reports the result of the case.
func (f *fleet) end(broken bool, format string, args ...any) {
	verdict, code := "rule held", exitHeld
	if broken {
		verdict, code = "RULE BROKEN", exitBroken
	}
	text := verdict + ": " + fmt.Sprintf(format, args...)
	f.record.printf("%s", text)
	fmt.Println(text)
	f.stop()
	os.Exit(code)
}

// newID returns the id of a requester attempt.
func (f *fleet) newID() string { return fmt.Sprintf("%s%08x", f.run, f.nextID.Add(1)) }

// answer is what a requester saw.
type answer struct {
	id     string
	sentAt time.Time
	status int
	signed bool
	err    error
	body   string
	took   time.Duration
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400, DisableCompression: true}}

// send sends one requester attempt to the outbound address of a node.
func (n *node) send(method, host, path, key string, budget time.Duration, body []byte) answer {
	a := answer{id: n.fleet.newID(), sentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+n.addr(n.ports.outbound)+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(wire("request_id"), a.id)
	req.Header.Set(wire("deadline"), fmt.Sprint(budget.Milliseconds()))
	if key != "" {
		req.Header.Set(wire("key"), key)
	}
	c := *client
	c.Timeout = budget + 2*time.Second
	resp, err := c.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.signed, a.err, a.body, a.took = resp.StatusCode, resp.Header.Get(wire("signature")) != "", err, string(b), time.Since(a.sentAt)
	return a
}

func trim(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}
