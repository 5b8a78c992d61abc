package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is one of the programs, which may be started again.
type process struct {
	program string
	args    []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program. Its output is added to its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	c := exec.Command(p.program, p.args...)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.args[0])
	}
	exited := make(chan struct{})
	p.cmd, p.exited = c, exited
	go func() {
		// How it ended is of no matter: it is killed in most cases.
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that was started last. One that has
// ended gets none: its id may belong to another by now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		// The process may end at this moment, which is as good.
		_ = p.cmd.Process.Signal(s)
	}
}

// waitOrKill waits until the process has ended, and kills it after the given time.
func (p *process) waitOrKill(timeout time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// isRunning reports whether the process has not ended.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
