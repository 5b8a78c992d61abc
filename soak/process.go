package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is a process of the fleet that can be restarted with the same arguments.
type process struct {
	program string
	args    []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program, unless it is running, and appends its output to the log
// file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	f, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.args[0])
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// The exit status is ignored: in most cases the process is killed.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the last process started, unless it has exited: its ID
// may have been reused for another process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		// The error is ignored: the process may exit just before the signal.
		_ = p.cmd.Process.Signal(s)
	}
}

// waitOrKill waits until the process has exited, and kills it after the timeout.
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
